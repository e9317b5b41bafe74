// This file implements the chat load: callers that send the turns of a chat, with pauses, to any daemon
// and compare each response with the expected text.

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

// completion is a received response: its text, the number of cached prompt tokens that it reports and
// the upstream that produced it.
type completion struct {
	text     string
	cached   int
	upstream string
}

// chat simulates one caller: it sends the turns of a chat with pauses between them, each to any daemon.
func (c *loadCommand) chat(t *tally, i int) {
	messages := []message{{"system", "You answer disputes about parking tickets. " + strings.Repeat("Rule. ", 40)}}
	reusable := 0 // tokens of this chat that an engine has processed
	for turn := range c.Turns {
		question := fmt.Sprintf("chat %d turn %d: where is my refund?", i, turn)
		messages = append(messages, message{"user", question})
		resp, ok := c.turn(t, messages, i)
		if !ok {
			t.mu.Lock()
			t.failed++
			t.mu.Unlock()
			return
		}
		t.mu.Lock()
		t.turns[resp.upstream]++
		t.reusable += reusable
		t.reused += min(resp.cached, reusable)
		t.mu.Unlock()
		messages = append(messages, message{"assistant", resp.text})
		reusable = chatTokens(messages)
		time.Sleep(time.Duration(rand.Int64N(int64(2 * c.Pause))))
	}
	t.mu.Lock()
	t.answered++
	t.mu.Unlock()
}

// chatTokens returns the number of tokens of a chat, as the fake engine counts them.
func chatTokens(messages []message) int {
	n := 0
	for _, m := range messages {
		content, _ := json.Marshal(m.Content)
		n += (len(m.Role)+1+len(content))/4 + 1
	}
	return n
}

// turn sends one turn until it succeeds or Patience runs out. A refusal is not a
// failure: turn retries after the time in Retry-After. A response with the wrong text is
// counted and not retried.
func (c *loadCommand) turn(t *tally, messages []message, i int) (completion, bool) {
	body, _ := json.Marshal(map[string]any{"model": c.Model, "stream": true, "messages": messages})
	last, _ := json.Marshal(messages[len(messages)-1].Content)
	want := strings.Join(standin.Completion(string(last), c.Words), "")
	for end := time.Now().Add(c.Patience); time.Now().Before(end); {
		resp, retryAfter, err := c.sendChat(body)
		switch {
		case err != nil:
			t.addProblem(err.Error())
		case resp.text != want:
			t.mu.Lock()
			t.mismatched++
			t.mu.Unlock()
			return resp, false
		default:
			return resp, true
		}
		time.Sleep(retryAfter)
	}
	return completion{}, false
}

// post sends a request to a ready daemon, as a load balancer would.
func (c *loadCommand) post(path string, body []byte, key string) (*http.Response, error) {
	g := c.readyGateway()
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
		return nil, fmt.Errorf("no response from a daemon")
	}
	return resp, nil
}

// readyGateway returns a random daemon that reports ready, or the first one if none is found in 20 attempts.
func (c *loadCommand) readyGateway() string {
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

// sendChat sends a chat request once. If it fails, the duration is how long to wait before a retry.
func (c *loadCommand) sendChat(body []byte) (completion, time.Duration, error) {
	resp, err := c.post(protocol.PathChat, body, "")
	if err != nil {
		return completion{}, time.Second, err
	}
	defer resp.Body.Close()
	retryAfter, _ := strconv.Atoi(resp.Header.Get(protocol.HeaderRetryAfter))
	if resp.StatusCode != http.StatusOK {
		return completion{}, time.Duration(retryAfter) * time.Second, fmt.Errorf("status %d %s %s", resp.StatusCode, resp.Header.Get(protocol.HeaderOutcome), resp.Header.Get(protocol.HeaderReason))
	}
	out := completion{upstream: resp.Header.Get(protocol.HeaderUpstream)}
	events := protocol.NewEventReader(resp.Body)
	for {
		ev, err := events.Read()
		if err != nil {
			return out, time.Second, fmt.Errorf("stream ended: %w", err)
		}
		if ev.IsEnd() {
			return out, 0, nil
		}
		if err := out.add(ev.Data); err != nil {
			return out, time.Second, err
		}
	}
}

// add appends the text of a streamed chunk and counts the cached tokens that it reports.
func (c *completion) add(data []byte) error {
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
		c.text += choice.Delta.Content
	}
	c.cached += chunk.Usage.Details.Cached
	return nil
}
