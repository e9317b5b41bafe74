// This file carries out one exchange on one connection: it writes the request,
// reads the answer's header, and says what is known of the request when there is
// none.

package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

const (
	// separateWriteBytes is the size from which a body is written beside the
	// reading of the answer, because a replica may answer before it has read all.
	// Smaller ones fit the socket's buffer.
	separateWriteBytes = 16 << 10
	// strayAnswers is how many late answers to earlier requests are skipped.
	strayAnswers = 2
	// maxRefusalBytes is how much of a refusal's body is read to be able to use its connection again.
	maxRefusalBytes = 4 << 10
	// bodyWriteGrace is how long the end of a body's writing is waited for after a whole answer.
	bodyWriteGrace = 2 * time.Millisecond
)

// Errors of exchanges.
var (
	errStray    = errors.New("answers on the connection belong to other requests")
	errUnsealed = errors.New("success without the replica's seal")
	errEncoded  = errors.New("answer is encoded, which nobody asked for")
	errSilent   = errors.New("replica is silent")
	errBarred   = errors.New("replica rests or leaves, as was learnt while the connection came up")
	errHeldBack = errors.New("held back while the connection came up")
	errRefused  = errors.New("replica says that it did not run the request")
)

// failure is an exchange without a usable answer.
type failure struct {
	outcome coordination.Outcome // of the request
	result  routing.Result       // of the replica, if blame is set
	blame   bool                 // the result is held against the replica
	cut     bool                 // the replica's end of the connection closed under the whole request
	// replaced says that another replica answered at the address.
	replaced bool
	err      error
}

// exchange is one request on one connection.
type exchange struct {
	pool     *Pool
	codec    Codec
	call     *Call
	conn     *conn
	deadline time.Time
	// stopWatching ends the watch for the caller's leaving. It returns false if the
	// caller has left.
	stopWatching func() bool

	sent     time.Time // before its first byte was written
	writing  sync.WaitGroup
	writeErr error
	whole    bool // the request was written whole before the answer was read
	arrived  bool // bytes of the replica have arrived
	response *http.Response
	head     ResponseHead
	// heard takes what the replica says of itself in each answer, late ones included.
	heard func(Statement)
	ended bool // the connection was given back or closed
}

// buffers holds the buffers in which requests are put together.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// begin writes the request; a large body goes on being written beside the reading of
// the answer. The failure is nil unless the writing failed.
func (x *exchange) begin(ctx context.Context, h RequestHead) *failure {
	x.sent = clock.Now()
	x.stopWatching = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	_ = x.conn.SetWriteDeadline(clock.Timer(x.deadline)) // an error shows at the write
	buf := buffers.Get().(*[]byte)
	head := x.codec.AppendRequest((*buf)[:0], x.call, h)
	if len(x.call.Body) < separateWriteBytes {
		head = append(head, x.call.Body...)
		n, err := x.conn.Write(head)
		x.whole = err == nil
		*buf = head[:0]
		buffers.Put(buf)
		return x.wrote(ctx, n, err)
	}
	n, err := x.conn.Write(head)
	*buf = head[:0]
	buffers.Put(buf)
	if err != nil {
		return x.wrote(ctx, n, err)
	}
	x.writing.Go(func() { _, x.writeErr = x.conn.Write(x.call.Body) })
	return nil
}

// wrote is the failure of writing n bytes of a request; nil without an error. Only if
// no byte was written the request surely has not run.
func (x *exchange) wrote(ctx context.Context, n int, err error) *failure {
	if err == nil {
		return nil
	}
	f := &failure{result: routing.ResultBroken, blame: ctx.Err() == nil, err: eris.Wrap(err, "write request")}
	if n == 0 {
		f.outcome = coordination.NotRun{Reason: coordination.ReasonConnect}
		return f
	}
	f.outcome = coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer}
	return f
}

// await waits until bytes of the replica have arrived. It returns false if it stays
// silent until then.
func (x *exchange) await(until time.Time) (bool, error) {
	if x.conn.reader.Buffered() > 0 {
		x.arrived = true
		return true, nil
	}
	if until.After(x.deadline) {
		until = x.deadline
	}
	_ = x.conn.SetReadDeadline(clock.Timer(until)) // an error shows at the read
	_, err := x.conn.reader.Peek(1)
	if err == nil {
		x.arrived = true
		_ = x.conn.SetReadDeadline(clock.Timer(x.deadline))
		return true, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return false, err
}

// readHead reads the header of the answer to this request. Late answers to earlier
// requests are skipped.
func (x *exchange) readHead(ctx context.Context) *failure {
	for range strayAnswers + 1 {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return x.broken(ctx, eris.Wrap(err, "read answer"))
		}
		x.response, x.head = resp, x.codec.ReadResponse(resp.StatusCode, resp.Header)
		if resp.StatusCode != http.StatusMisdirectedRequest { // that is another replica's
			x.heard(x.head.Says)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if x.head.Request == x.call.ID {
			return x.check()
		}
		x.conn.maxIdle = -1
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // its end is the connection's
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return x.broken(ctx, eris.Wrap(err, "read stray answer"))
		}
	}
	return x.broken(ctx, errStray)
}

// isAnswered reports whether the replica that was meant has answered the request, in whatever way.
func (x *exchange) isAnswered() bool {
	return x.response != nil && x.head.Request == x.call.ID && x.response.StatusCode != http.StatusMisdirectedRequest
}

// check reports whether the answer can be passed on; nil if it can.
func (x *exchange) check() *failure {
	status := x.response.StatusCode
	switch {
	case x.head.NotRun:
		_, err := io.CopyN(io.Discard, x.response.Body, maxRefusalBytes)
		x.end(errors.Is(err, io.EOF), clock.Now())
		// One that asks for rest is obeyed (coordination/routing/backoffs.go); it has not failed.
		replaced := status == http.StatusMisdirectedRequest
		return &failure{
			outcome: coordination.NotRun{Reason: coordination.ReasonUpstreamBusy},
			result:  routing.ResultRefused, blame: !replaced && x.head.Says.Rest == 0, replaced: replaced, err: errRefused,
		}
	case status < http.StatusMultipleChoices && !x.head.Sealed:
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, blame: true, err: errUnsealed}
	case x.head.Encoded:
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, blame: true, err: errEncoded}
	}
	return nil
}

// mayHaveRun is the outcome of an answer that can't be used.
var mayHaveRun = coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}

// broken is the failure of an answer that ended early.
func (x *exchange) broken(ctx context.Context, err error) *failure {
	reason := coordination.ReasonBrokenAnswer
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = coordination.ReasonDeadline
	}
	return &failure{
		outcome: coordination.MayHaveRun{Reason: reason}, result: routing.ResultBroken,
		blame: ctx.Err() == nil, cut: ctx.Err() == nil && isCut(err), err: err,
	}
}

// silent is the failure of a replica that does not answer although there is time.
func (x *exchange) silent() *failure {
	return &failure{
		outcome: coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer},
		result:  routing.ResultSilent, blame: true, err: errSilent,
	}
}

// expired is the failure of an answer that has not come by the deadline.
func (x *exchange) expired() *failure {
	return &failure{
		outcome: coordination.MayHaveRun{Reason: coordination.ReasonDeadline},
		result:  routing.ResultSilent, err: errSilent,
	}
}

// end gives the connection back if nothing is left on it, and closes it
// otherwise. whole says that the answer was read to its end.
func (x *exchange) end(whole bool, now time.Time) {
	x.ended = true
	live := x.stopWatching == nil || x.stopWatching()
	if !x.whole && whole && live {
		// The rest of a long body may still be on its way out. It is not waited
		// for: a replica that answered early may never read it.
		whole = x.bodyWritten()
	}
	if !whole || !live || x.conn.maxIdle < 0 || x.response.Close || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		x.writing.Wait()
		return
	}
	if idle := x.head.Says.Idle; idle > 0 {
		x.conn.maxIdle = time.Duration(float64(idle) * idleShare)
	}
	x.pool.put(x.conn, now)
}

func (x *exchange) bodyWritten() bool {
	done := make(chan struct{})
	go func() {
		x.writing.Wait()
		close(done)
	}()
	select {
	case <-done:
		return x.writeErr == nil
	case <-time.After(bodyWriteGrace):
		return false
	}
}

// abandon closes the connection, so that the replica stops working.
func (x *exchange) abandon() {
	x.ended = true
	if x.stopWatching != nil {
		x.stopWatching()
	}
	x.pool.discard(x.conn)
	x.writing.Wait()
}

// unreachable is the failure of a connection that was not taken: nothing was
// sent.
func unreachable(ctx context.Context, err error) *failure {
	blame := ctx.Err() == nil && !errors.Is(err, errFull)
	var oe *net.OpError
	if errors.As(err, &oe) && errors.Is(oe.Err, os.ErrDeadlineExceeded) && ctx.Err() != nil {
		blame = false
	}
	return &failure{
		outcome: coordination.NotRun{Reason: coordination.ReasonConnect},
		result:  routing.ResultUnreachable, blame: blame, err: eris.Wrap(err, "connect"),
	}
}
