// This file writes the log lines about panics while a request is served. The front end for callers reports its own,
// with the request's id. The other servers' are recovered by net/http, which reports them to its error log.

package routes

import (
	"bytes"
	"fmt"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

const (
	// maxPanicText and maxStackText are how much of a panic's value and of its stack a line shows, in bytes. The
	// innermost 40 frames or so fit.
	maxPanicText = 512
	maxStackText = 6 << 10
)

// stackText returns the stack to log, or an empty string if one was logged a moment ago: were all requests to panic,
// stacks would fill the buffer of the log.
func (l *Log) stackText(stack []byte) string {
	if !l.stacks.Allow() {
		return ""
	}
	return string(stack[:min(len(stack), maxStackText)])
}

// Panicked logs that a panic ended a caller's request.
func (l *Log) Panicked(id routing.RequestID, value any, stack []byte) {
	text := panicText(fmt.Sprint(value))
	l.metrics.Panics.Inc(1)
	l.timeline.Record(coordination.EventAttemptFailed, "", state.RequestID(id), "%s", "panic: "+text)
	l.logger.Error().Str("request", string(id)).Str("panic", text).Str("stack", l.stackText(stack)).
		Msg(prefixRequest + "panic while it was served")
}

// ServerPanicked logs that a panic ended a request of a peer, an operator or a scraper. value begins with the
// address that the request came from.
func (l *Log) ServerPanicked(listener, value string, stack []byte) {
	text := panicText(value)
	l.metrics.Panics.Inc(1)
	l.timeline.Record(coordination.EventAttemptFailed, listener, "", "%s", "panic: "+text)
	l.logger.Error().Str("listener", listener).Str("panic", text).Str("stack", l.stackText(stack)).
		Msg(prefixDaemon + "panic while a request was served")
}

func panicText(value string) string { return value[:min(len(value), maxPanicText)] }

// panicPrefix begins net/http's messages about panics. The value and the stack follow, on lines of their own.
var panicPrefix = []byte("http: panic serving ")

// serverMessages takes the messages of a server of net/http. All but those about panics are dropped, because
// net/http writes one for each caller that disconnects.
type serverMessages struct {
	log      *Log
	listener string
}

// Write takes one message.
func (m *serverMessages) Write(p []byte) (int, error) {
	if text, ok := bytes.CutPrefix(p, panicPrefix); ok {
		value, stack, _ := bytes.Cut(text, []byte("\ngoroutine "))
		m.log.ServerPanicked(m.listener, string(value), stack)
	}
	return len(p), nil
}
