// This file sends HTTP requests with bounds on silence and on the rate in place of a total
// timeout: a large response may take long on a slow link, while a peer that sends nothing, or a
// byte now and then, is given up soon. coordination/fetch.go decides how long it may take.

package transport

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
)

// Timeouts bound how long a peer may send nothing, and how slowly it may send.
type Timeouts = coordination.FetchTimeouts

// Fetch sends a request, passes the response to read and returns read's error. It
// fails with [coordination.ErrSilent] or [coordination.ErrSlow] when the peer sends less than t allows, and when the request's
// context is done.
func Fetch(client *http.Client, req *http.Request, t Timeouts, read func(*http.Response) error) error {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	w := &watchdog{cancel: cancel}
	defer w.stop()
	w.set(t.FirstByte, coordination.ErrSilent)
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return eris.Wrap(w.causeOf(err), "send request")
	}
	defer resp.Body.Close()
	w.stop()
	resp.Body = &boundedRateBody{ReadCloser: resp.Body, watchdog: w, timeouts: &t}
	return w.causeOf(read(resp))
}

// boundedRateBody is a response body that sets the watchdog for each read. What the reader does between reads does not count.
type boundedRateBody struct {
	io.ReadCloser
	watchdog *watchdog
	timeouts *Timeouts
	progress coordination.FetchProgress
}

// Read implements [io.Reader].
func (b *boundedRateBody) Read(p []byte) (int, error) {
	started := time.Now()
	b.watchdog.set(b.progress.Next(b.timeouts))
	n, err := b.ReadCloser.Read(p)
	b.watchdog.stop()
	b.progress.Add(b.timeouts, time.Since(started), n)
	return n, err
}

// watchdog cancels a fetch unless it is set again in time.
type watchdog struct {
	cancel context.CancelCauseFunc
	timer  *PausableTimer        // nil: it was not set
	cause  atomic.Pointer[error] // why the fetch was canceled; nil: it was not
}

// set replaces the time after which the fetch is canceled, and the cause.
func (w *watchdog) set(d time.Duration, cause error) {
	w.stop()
	w.timer = AfterFunc(d, func() {
		w.cause.Store(&cause)
		w.cancel(cause)
	})
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// causeOf returns why the fetch was canceled in place of the error that this led to.
func (w *watchdog) causeOf(err error) error {
	if cause := w.cause.Load(); err != nil && cause != nil {
		return *cause
	}
	return err
}
