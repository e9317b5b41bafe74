// This file plays the chats of the load: callers that return after pauses by any daemon,
// and check each answer word by word.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/transport/gateway"
)

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
