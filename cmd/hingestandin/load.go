// This file plays callers: chats that return through any daemon, and requests
// that must not be repeated and are all the same sent twice. Each answer is
// checked word by word.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hingewinch.org/hingewinch/internal/standin"
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

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type answer struct {
	text     string
	cached   int
	upstream string
}

// chat plays one caller who comes back after pauses, each time by any daemon.
func (c *loadCommand) chat(t *tally, i int) {
	messages := []message{{"system", "You answer disputes about parking tickets. " + strings.Repeat("Rule. ", 40)}}
	known := 0 // tokens that an engine has seen in this chat
	for turn := range c.Turns {
		question := fmt.Sprintf("chat %d turn %d: where is my refund?", i, turn)
		messages = append(messages, message{"user", question})
		a, ok := c.turn(t, messages, i)
		if !ok {
			t.mu.Lock()
			t.failed++
			t.mu.Unlock()
			return
		}
		t.mu.Lock()
		t.work[a.upstream]++
		t.reusable += known
		t.reused += min(a.cached, known)
		t.mu.Unlock()
		messages = append(messages, message{"assistant", a.text})
		known = chatTokens(messages)
		time.Sleep(time.Duration(rand.Int64N(int64(2 * c.Pause))))
	}
	t.mu.Lock()
	t.answered++
	t.mu.Unlock()
}

func chatTokens(messages []message) int {
	n := 0
	for _, m := range messages {
		content, _ := json.Marshal(m.Content)
		n += (len(m.Role)+1+len(content))/4 + 1
	}
	return n
}

// turn sends one turn until it is answered or the time is over. A refusal is no
// failure: it says when to come back.
func (c *loadCommand) turn(t *tally, messages []message, i int) (answer, bool) {
	body, _ := json.Marshal(map[string]any{"model": c.Model, "stream": true, "messages": messages})
	last, _ := json.Marshal(messages[len(messages)-1].Content)
	want := strings.Join(standin.Answer(string(last), c.Words), "")
	for end := time.Now().Add(c.Patience); time.Now().Before(end); {
		a, retry, err := c.ask(body)
		switch {
		case err != nil:
			t.problem(err.Error())
		case a.text != want:
			t.mu.Lock()
			t.cut++
			t.mu.Unlock()
			return a, false
		default:
			return a, true
		}
		time.Sleep(retry)
	}
	return answer{}, false
}

// post sends to a daemon that is ready, as a balancer would choose it.
func (c *loadCommand) post(path string, body []byte, key string) (*http.Response, error) {
	g := c.ready()
	req, err := http.NewRequest(http.MethodPost, g+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		req.Header.Set(protocol.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no answer from a daemon")
	}
	return resp, nil
}

func (c *loadCommand) ready() string {
	for range 20 {
		g := c.Gateways[rand.IntN(len(c.Gateways))]
		resp, err := http.Get(g + gateway.PathReady)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return g
		}
	}
	return c.Gateways[0]
}

func (c *loadCommand) ask(body []byte) (answer, time.Duration, error) {
	resp, err := c.post(protocol.PathChat, body, "")
	if err != nil {
		return answer{}, time.Second, err
	}
	defer resp.Body.Close()
	retry, _ := strconv.Atoi(resp.Header.Get(protocol.HeaderRetryAfter))
	if resp.StatusCode != http.StatusOK {
		return answer{}, time.Duration(retry) * time.Second, fmt.Errorf("status %d %s %s", resp.StatusCode, resp.Header.Get(protocol.HeaderOutcome), resp.Header.Get(protocol.HeaderReason))
	}
	a := answer{upstream: resp.Header.Get(protocol.HeaderUpstream)}
	events := protocol.NewEventReader(resp.Body)
	for {
		ev, err := events.Read()
		if err != nil {
			return a, time.Second, fmt.Errorf("stream ended: %w", err)
		}
		if ev.IsEnd() {
			return a, 0, nil
		}
		if err := a.add(ev.Data); err != nil {
			return a, time.Second, err
		}
	}
}

func (a *answer) add(data []byte) error {
	var chunk struct {
		Choices []struct {
			Delta message `json:"delta"`
		} `json:"choices"`
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error *protocol.ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Error != nil {
		return fmt.Errorf("stream ended with error %s %s", chunk.Error.Outcome, chunk.Error.Code)
	}
	for _, choice := range chunk.Choices {
		a.text += choice.Delta.Content
	}
	a.cached += chunk.Usage.Details.Cached
	return nil
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
