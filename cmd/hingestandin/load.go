// This file runs the load: callers whose chats return (chats.go), and callers whose
// requests must not be repeated and are all the same sent twice. It judges what they saw.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/transport/gateway"
)

type loadCommand struct {
	Gateways []string      `long:"gateway" required:"yes" description:"base URL of a daemon"`
	Services []string      `long:"services" description:"base URL of a service replica, to count runs"`
	Key      string        `long:"key" required:"yes"`
	Model    string        `long:"model" default:"casework"`
	Service  string        `long:"service" default:"gate"`
	Chats    int           `long:"chats" default:"100"`
	Turns    int           `long:"turns" default:"4"`
	Once     int           `long:"once" default:"40"`
	Parallel int           `long:"parallel" default:"20"`
	Pause    time.Duration `long:"pause" default:"400ms" description:"mean pause between turns"`
	Words    int           `long:"words" default:"12"`
	Patience time.Duration `long:"patience" default:"20s" description:"how long a caller tries"`
}

// tally is what the callers saw.
type tally struct {
	mu       sync.Mutex
	answered int
	failed   int
	cut      int
	reusable int
	reused   int
	work     map[string]int
	problems map[string]int
}

func (t *tally) problem(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems[kind]++
}

// Execute runs the load and prints the closing line.
func (c *loadCommand) Execute([]string) error {
	t := &tally{work: make(map[string]int), problems: make(map[string]int)}
	slots := make(chan struct{}, c.Parallel)
	var wg sync.WaitGroup
	for i := range c.Chats {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			c.chat(t, i)
		})
	}
	for i := range c.Once {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(c.Pause) * int64(c.Turns))))
			c.once(t, i)
		})
	}
	wg.Wait()
	return c.report(t)
}

func (c *loadCommand) report(t *tally) error {
	runs, err := c.maxRuns()
	if err != nil {
		return err
	}
	for kind, n := range t.problems {
		fmt.Fprintf(os.Stderr, "load: seen and overcome: %s, %d times\n", kind, n)
	}
	reuse := float64(t.reused) / float64(max(t.reusable, 1))
	fmt.Printf("demo: chats=%d answered=%d failed=%d cut=%d once_runs_max=%d reuse=%.2f skew=%.2f\n",
		c.Chats, t.answered, t.failed, t.cut, runs, reuse, skew(t.work))
	if t.answered != c.Chats || t.failed > 0 || t.cut > 0 || runs != 1 {
		return fmt.Errorf("load: not all held")
	}
	return nil
}

// skew is the largest share of the work over the mean of the engines seen.
func skew(work map[string]int) float64 {
	sum, most := 0, 0
	for _, n := range work {
		sum += n
		most = max(most, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(work)) / float64(sum)
}

func (c *loadCommand) maxRuns() (int, error) {
	total := make(map[string]int)
	for _, url := range c.Services {
		resp, err := http.Get(url + "/runs")
		if err != nil {
			return 0, err
		}
		var runs map[string]int
		err = json.NewDecoder(resp.Body).Decode(&runs)
		resp.Body.Close()
		if err != nil {
			return 0, err
		}
		for k, n := range runs {
			total[k] += n
		}
	}
	most := 0
	for _, n := range total {
		most = max(most, n)
	}
	return most, nil
}

// once takes a ticket, sends a request and sends it again by another daemon, as
// a caller does who lost the first answer.
func (c *loadCommand) once(t *tally, i int) {
	body := fmt.Appendf(nil, `{"pass": %d}`, i)
	ticket, ok := c.ticket(t)
	if !ok {
		t.mu.Lock()
		t.failed++
		t.mu.Unlock()
		return
	}
	for range 2 {
		resp, err := c.post(gateway.PathServices+c.Service+"/passes", body, ticket)
		if err != nil {
			t.problem(err.Error())
			continue
		}
		if outcome := resp.Header.Get(protocol.HeaderOutcome); outcome != "" {
			t.problem("request with a ticket refused: " + outcome + " " + resp.Header.Get(protocol.HeaderReason))
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func (c *loadCommand) ticket(t *tally) (string, bool) {
	for end := time.Now().Add(c.Patience); time.Now().Before(end); time.Sleep(time.Second) {
		resp, err := c.post(gateway.PathTickets, fmt.Appendf(nil, `{"service": %q}`, c.Service), "")
		if err != nil {
			t.problem(err.Error())
			continue
		}
		var a gateway.TicketAnswer
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err == nil && a.Ticket != "" {
			return a.Ticket, true
		}
	}
	return "", false
}
