// This file sends HTTP requests with an idle timeout in place of a total one: a
// large response may take long on a slow link, while a peer that sends nothing is
// given up soon.

package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Timeouts bound how long a peer may send nothing.
type Timeouts struct {
	FirstByte time.Duration // until the response header
	Idle      time.Duration // between two reads of the response body
}

// Fetch sends a request, passes the response to read and returns read's error. It
// fails when the peer sends nothing for longer than t allows, and when the request's
// context is done.
func Fetch(client *http.Client, req *http.Request, t Timeouts, read func(*http.Response) error) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	timer := time.AfterFunc(t.FirstByte, cancel)
	defer timer.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	timer.Reset(t.Idle)
	resp.Body = &idleTimeoutBody{ReadCloser: resp.Body, timer: timer, idle: t.Idle}
	return read(resp)
}

// idleTimeoutBody is a response body that restarts the idle timeout after each read.
type idleTimeoutBody struct {
	io.ReadCloser
	timer *time.Timer
	idle  time.Duration
}

// Read implements [io.Reader].
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.timer.Reset(b.idle)
	return n, err
}
