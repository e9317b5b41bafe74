// This file generates the load: callers that hold chats (chats.go) and callers that send a request twice
// with one ticket, which must run only once. It then evaluates their results.

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
	Services []string      `long:"services" description:"base URL of a service replica, to count the requests that it ran"`
	Key      string        `long:"key" required:"yes"`
	Model    string        `long:"model" default:"casework"`
	Service  string        `long:"service" default:"gate"`
	Chats    int           `long:"chats" default:"100"`
	Turns    int           `long:"turns" default:"4"`
	Once     int           `long:"once" default:"40"`
	Parallel int           `long:"parallel" default:"20"`
	Pause    time.Duration `long:"pause" default:"400ms" description:"mean pause between turns"`
	Words    int           `long:"words" default:"12"`
	Patience time.Duration `long:"patience" default:"20s" description:"how long a caller retries"`
}

// tally collects the results of all callers.
type tally struct {
	mu         sync.Mutex
	answered   int            // chats whose turns all succeeded
	failed     int            // chats and ticket requests that did not succeed in time
	mismatched int            // responses with the wrong text
	reusable   int            // prompt tokens that could have been cached
	reused     int            // prompt tokens that were cached
	turns      map[string]int // chat turns by upstream
	problems   map[string]int // number of errors by message
}

func (t *tally) addProblem(message string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems[message]++
}

// Execute runs the load and prints a summary. It returns an error if any check failed.
func (c *loadCommand) Execute([]string) error {
	t := &tally{turns: make(map[string]int), problems: make(map[string]int)}
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
	for message, n := range t.problems {
		fmt.Fprintf(os.Stderr, "load: error during the run: %s (%d times)\n", message, n)
	}
	reuse := float64(t.reused) / float64(max(t.reusable, 1))
	fmt.Printf("demo: chats=%d answered=%d failed=%d cut=%d once_runs_max=%d reuse=%.2f skew=%.2f\n",
		c.Chats, t.answered, t.failed, t.mismatched, runs, reuse, skew(t.turns))
	if t.answered != c.Chats || t.failed > 0 || t.mismatched > 0 || runs != 1 {
		return fmt.Errorf("load: at least one check failed; see the summary")
	}
	return nil
}

// skew returns the ratio of the largest number of turns of an engine to the mean over all engines that were used.
func skew(turns map[string]int) float64 {
	sum, largest := 0, 0
	for _, n := range turns {
		sum += n
		largest = max(largest, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(len(turns)) / float64(sum)
}

// maxRuns returns how often the request that ran most often was run by all service replicas together.
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
	largest := 0
	for _, n := range total {
		largest = max(largest, n)
	}
	return largest, nil
}

// once obtains a ticket and sends a request with it twice, each time to any daemon, like
// a caller that lost the first response.
func (c *loadCommand) once(t *tally, i int) {
	body := fmt.Appendf(nil, `{"pass": %d}`, i)
	ticket, ok := c.fetchTicket(t)
	if !ok {
		t.mu.Lock()
		t.failed++
		t.mu.Unlock()
		return
	}
	for range 2 {
		resp, err := c.post(gateway.PathServices+c.Service+"/passes", body, ticket)
		if err != nil {
			t.addProblem(err.Error())
			continue
		}
		if outcome := resp.Header.Get(protocol.HeaderOutcome); outcome != "" {
			t.addProblem("request with a ticket refused: " + outcome + " " + resp.Header.Get(protocol.HeaderReason))
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// fetchTicket obtains a ticket, retrying until Patience runs out.
func (c *loadCommand) fetchTicket(t *tally) (string, bool) {
	for end := time.Now().Add(c.Patience); time.Now().Before(end); time.Sleep(time.Second) {
		resp, err := c.post(gateway.PathTickets, fmt.Appendf(nil, `{"service": %q}`, c.Service), "")
		if err != nil {
			t.addProblem(err.Error())
			continue
		}
		var answer gateway.TicketAnswer
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err == nil && answer.Ticket != "" {
			return answer.Ticket, true
		}
	}
	return "", false
}
