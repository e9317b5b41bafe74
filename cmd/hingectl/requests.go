// This file implements the commands that send requests as a caller: chat and once.

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
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

type callerOptions struct {
	Gateways []string      `short:"g" long:"gateway" value-name:"URL" required:"yes" description:"base URL of a daemon or load balancer; may be repeated to name alternatives"`
	Key      string        `short:"k" long:"key" env:"HINGEWINCH_KEY" required:"yes" description:"API key of the workspace"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"timeout of the whole command"`
}

// newRequest returns an authenticated JSON request to a gateway.
func (o *callerOptions) newRequest(ctx context.Context, base, method, path string, body []byte) (*http.Request, error) {
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
	Model  string `short:"m" long:"model" required:"yes" description:"name of the model"`
	ChatID string `long:"chat" description:"chat id, so that later turns can reuse the cache"`
	Args   struct {
		Text []string `positional-arg-name:"TEXT" required:"1"`
	} `positional-args:"yes"`
}

// textMessage is a chat message with text content.
type textMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// textChat is the body of a chat request.
type textChat struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []textMessage `json:"messages"`
}

// textChunk is an event of a streamed response.
type textChunk struct {
	Choices []struct {
		Delta textMessage `json:"delta"`
	} `json:"choices"`
	Error *protocol.ErrorDetail `json:"error"`
}

// Execute sends the chat request and streams the response to standard output.
func (c *chatCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	body, err := json.Marshal(textChat{Model: c.Model, Stream: true, Messages: []textMessage{{"user", strings.Join(c.Args.Text, " ")}}})
	if err != nil {
		return eris.Wrap(err, "encode chat request")
	}
	req, err := c.newRequest(ctx, c.Gateways[0], http.MethodPost, protocol.PathChat, body)
	if err != nil {
		return err
	}
	if c.ChatID != "" {
		req.Header.Set(protocol.HeaderChatID, c.ChatID)
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send chat request; check the gateway URL")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	return printStream(resp.Body)
}

// printStream prints the text of a streamed response as it arrives.
func printStream(r io.Reader) error {
	events := protocol.NewEventReader(r)
	for {
		ev, err := events.Read()
		if err != nil {
			return eris.Wrap(err, "the response ended before it was complete; send the chat again")
		}
		if ev.IsEnd() {
			fmt.Println()
			return nil
		}
		var chunk textChunk
		if err := json.Unmarshal(ev.Data, &chunk); err != nil {
			return eris.Wrap(err, "decode a chunk of the response")
		}
		if chunk.Error != nil {
			return eris.New(chunk.Error.Message)
		}
		for _, choice := range chunk.Choices {
			fmt.Print(choice.Delta.Content)
		}
	}
}

// responseError converts an error response into an error with an exit code.
func responseError(resp *http.Response) error {
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
	Path    string `short:"p" long:"path" required:"yes" description:"request path at the service"`
	Method  string `long:"method" default:"POST" description:"HTTP method"`
	Args    struct {
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"yes"`
}

// maxAttempts is how often the once command sends a request while its outcome is
// unknown, always with the same ticket.
const maxAttempts = 5

// Execute obtains a ticket and sends the request with it. While the outcome is
// unknown, it repeats the request with the same ticket, which can't run it a
// second time.
func (c *onceCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	ticket, err := c.fetchTicket(ctx)
	if err != nil {
		return err
	}
	var lastErr error
	for n := range maxAttempts {
		done, err := c.attempt(ctx, c.Gateways[n%len(c.Gateways)], ticket)
		if done {
			return err
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return &exitError{code: exitUnknown, err: lastErr}
		case <-time.After(time.Second):
		}
	}
	return lastErr
}

// fetchTicket obtains a ticket from the first gateway that issues one.
func (c *onceCommand) fetchTicket(ctx context.Context) (string, error) {
	body, err := json.Marshal(map[string]string{"service": c.Service})
	if err != nil {
		return "", eris.Wrap(err, "encode ticket request")
	}
	var lastErr error
	for _, g := range c.Gateways {
		req, err := c.newRequest(ctx, g, http.MethodPost, gateway.PathTickets, body)
		if err != nil {
			return "", err
		}
		resp, err := client.Do(req)
		if err != nil {
			lastErr = eris.Wrap(err, "get a ticket; check the gateway URL")
			continue
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			lastErr = responseError(resp)
			continue
		}
		var a gateway.TicketAnswer
		transport.BoundBody(resp, maxResponseBytes)
		err = json.NewDecoder(resp.Body).Decode(&a)
		return a.Ticket, eris.Wrap(err, "decode ticket response")
	}
	return "", lastErr
}

// attempt sends the request once. done is false if the request may be sent again.
func (c *onceCommand) attempt(ctx context.Context, base, ticket string) (done bool, err error) {
	req, err := c.newRequest(ctx, base, c.Method, gateway.PathServices+c.Service+c.Path, []byte(c.Args.Body))
	if err != nil {
		return true, err
	}
	req.Header.Set(protocol.HeaderIdempotencyKey, ticket)
	resp, err := client.Do(req)
	if err != nil {
		return false, &exitError{code: exitUnknown, err: eris.Wrap(err, "no response; the outcome of the request is unknown")}
	}
	defer resp.Body.Close()
	if resp.Header.Get(protocol.HeaderOutcome) != "" {
		err := responseError(resp)
		var exitErr *exitError
		return errors.As(err, &exitErr) && resp.StatusCode < http.StatusInternalServerError, err
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	fmt.Println()
	return true, eris.Wrap(err, "read response")
}
