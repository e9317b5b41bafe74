// This file bounds a call by the other side's silence and not by the call's
// length: a large answer may take long on a small link, while a peer that sends
// nothing is given up soon.

package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Timeouts bound the silence of the other side of a call.
type Timeouts struct {
	FirstByte time.Duration // until the answer begins
	Idle      time.Duration // between two reads of its body
}

// Fetch sends a request and passes the answer to read, whose error it returns. The
// call ends with an error when the other side is silent for longer than t allows,
// and when the request's context ends.
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
	resp.Body = &timedBody{ReadCloser: resp.Body, timer: timer, idle: t.Idle}
	return read(resp)
}

// timedBody restarts the idle timeout with each read.
type timedBody struct {
	io.ReadCloser
	timer *time.Timer
	idle  time.Duration
}

// Read reads a piece.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.timer.Reset(b.idle)
	return n, err
}
