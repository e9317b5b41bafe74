// This file holds the commands that send requests as a caller: chat and once.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/transport/gateway"
)

type callerOptions struct {
	Gateways []string      `short:"g" long:"gateway" value-name:"URL" required:"yes" description:"base URL of a daemon or the balancer; more are tried in turn"`
	Key      string        `short:"k" long:"key" env:"HINGEWINCH_KEY" required:"yes" description:"API key of the workspace"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"time for the whole command"`
}

func (o *callerOptions) request(ctx context.Context, base, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request; check the gateway URL")
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

type chatCommand struct {
	callerOptions
	Model  string `short:"m" long:"model" required:"yes" description:"model to ask"`
	ChatID string `long:"chat" description:"id of the chat, for cache reuse over turns"`
	Args   struct {
		Text []string `positional-arg-name:"TEXT" required:"1"`
	} `positional-args:"yes"`
}

type textMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type textChat struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []textMessage `json:"messages"`
}

type textChunk struct {
	Choices []struct {
		Delta textMessage `json:"delta"`
	} `json:"choices"`
	Error *protocol.ErrorDetail `json:"error"`
}

// Execute streams the answer to standard output.
func (c *chatCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	body, err := json.Marshal(textChat{Model: c.Model, Stream: true, Messages: []textMessage{{"user", strings.Join(c.Args.Text, " ")}}})
	if err != nil {
		return eris.Wrap(err, "encode chat")
	}
	req, err := c.request(ctx, c.Gateways[0], http.MethodPost, protocol.PathChat, body)
	if err != nil {
		return err
	}
	if c.ChatID != "" {
		req.Header.Set(protocol.HeaderChatID, c.ChatID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "send chat; check the gateway URL")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return printStream(resp.Body)
}

func printStream(r io.Reader) error {
	events := protocol.NewEventReader(r)
	for {
		ev, err := events.Read()
		if err != nil {
			return eris.Wrap(err, "answer broke off; send the chat again")
		}
		if ev.IsEnd() {
			fmt.Println()
			return nil
		}
		var chunk textChunk
		if err := json.Unmarshal(ev.Data, &chunk); err != nil {
			return eris.Wrap(err, "read a chunk of the answer")
		}
		if chunk.Error != nil {
			return eris.New(chunk.Error.Message)
		}
		for _, choice := range chunk.Choices {
			fmt.Print(choice.Delta.Content)
		}
	}
}

// refusal turns an error answer into an error with its exit code.
func refusal(resp *http.Response) error {
	var body protocol.ErrorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&body)
	outcome := resp.Header.Get(protocol.HeaderOutcome)
	code := exitFailed
	if outcome != protocol.OutcomeNotRun {
		code = exitUnknown
	}
	return &exitError{code: code, err: eris.Errorf("refused with status %d (%s, retry after %ss): %s", resp.StatusCode, outcome, resp.Header.Get(protocol.HeaderRetryAfter), body.Error.Message)}
}

type onceCommand struct {
	callerOptions
	Service string `short:"s" long:"service" required:"yes" description:"service to call"`
	Path    string `short:"p" long:"path" required:"yes" description:"path at the service"`
	Method  string `long:"method" default:"POST" description:"HTTP method"`
	Args    struct {
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"yes"`
}

// onceRepeats is how often the command repeats a request whose end it doesn't
// know, always with the same ticket.
const onceRepeats = 5

// Execute takes a ticket and sends the request with it. While the end is not
// known the request is repeated with the same ticket, which can't run it a
// second time.
func (c *onceCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	ticket, err := c.ticket(ctx)
	if err != nil {
		return err
	}
	var last error
	for n := range onceRepeats {
		done, err := c.attempt(ctx, c.Gateways[n%len(c.Gateways)], ticket)
		if done {
			return err
		}
		last = err
		select {
		case <-ctx.Done():
			return &exitError{code: exitUnknown, err: last}
		case <-time.After(time.Second):
		}
	}
	return last
}

func (c *onceCommand) ticket(ctx context.Context) (string, error) {
	body, err := json.Marshal(map[string]string{"service": c.Service})
	if err != nil {
		return "", eris.Wrap(err, "encode ticket request")
	}
	var last error
	for _, g := range c.Gateways {
		req, err := c.request(ctx, g, http.MethodPost, gateway.PathTickets, body)
		if err != nil {
			return "", err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			last = eris.Wrap(err, "take a ticket; check the gateway URL")
			continue
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			last = refusal(resp)
			continue
		}
		var a gateway.TicketAnswer
		err = json.NewDecoder(resp.Body).Decode(&a)
		return a.Ticket, eris.Wrap(err, "read ticket")
	}
	return "", last
}

// attempt sends the request once; done is false if it may be sent again.
func (c *onceCommand) attempt(ctx context.Context, base, ticket string) (done bool, err error) {
	req, err := c.request(ctx, base, c.Method, gateway.PathServices+c.Service+c.Path, []byte(c.Args.Body))
	if err != nil {
		return true, err
	}
	req.Header.Set(protocol.HeaderIdempotencyKey, ticket)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, &exitError{code: exitUnknown, err: eris.Wrap(err, "no answer; its end is not known")}
	}
	defer resp.Body.Close()
	if resp.Header.Get(protocol.HeaderOutcome) != "" {
		err := refusal(resp)
		var xe *exitError
		return errors.As(err, &xe) && resp.StatusCode < http.StatusInternalServerError, err
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	fmt.Println()
	return true, eris.Wrap(err, "read answer")
}
