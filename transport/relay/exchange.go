// This file performs one exchange on one connection: it writes the request and reads
// the response's header. If the exchange fails, it determines whether the replica may
// have run the request.

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
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

const (
	// concurrentWriteBytes is the size from which a body is written concurrently with reading
	// the response, because a replica may respond before it has read the whole body.
	// Smaller bodies fit into the socket's send buffer.
	concurrentWriteBytes = 16 << 10
	// maxStrayResponses is the maximum number of late responses to earlier requests, and of interim responses, that
	// are skipped.
	maxStrayResponses = 2
	// maxStrayBytes is the maximum size of the body of a late response to an earlier request, in bytes. Any response
	// that is forwarded as a whole fits; skipping it holds no memory.
	maxStrayBytes = maxResponseBytes
	// maxRejectionBytes is how much of a rejection's body is read in order to reuse the connection.
	maxRejectionBytes = 4 << 10
	// bodyWriteTimeout is how long to wait, after a complete response, for the body to be written.
	bodyWriteTimeout = 2 * time.Millisecond
	// rejectionBodyTime is how long to wait for a rejection's body, which follows the header at once. Without it the
	// connection is not reused, and the call goes on.
	rejectionBodyTime = 10 * time.Millisecond
	// pausedReadTime is how long bytes are looked for that arrived while the process was paused. They are in the
	// socket's receive buffer.
	pausedReadTime = time.Millisecond
)

// Causes of failed exchanges.
var (
	errStrayResponses = errors.New("responses on the connection belong to other requests, or are interim ones")
	errUnsealed       = errors.New("successful response without the replica's seal")
	errEncoded        = errors.New("response has a content encoding that was not requested")
	errSilent         = errors.New("replica is silent")
	errOvertaken      = errors.New("an earlier replica that was silent went on first")
	errSilentToo      = errors.New("replica is silent too; the earlier one keeps the request")
	errIneligible     = errors.New("replica requested a backoff or announced its departure during connection setup")
	errQuarantined    = errors.New("request was quarantined during connection setup")
	errRejected       = errors.New("replica rejected the request without running it")
	errPanicked       = errors.New("panic while the request was served")
)

// failure describes an exchange without a usable response.
type failure struct {
	outcome       coordination.Outcome // of the request
	result        routing.Result       // of the replica; recorded only if countsAgainst is set
	countsAgainst bool                 // result counts against the replica
	connClosed    bool                 // the replica closed the connection while it had the request
	received      bool                 // the replica had sent at least one byte, if the connection was closed
	hasCrashed    bool                 // the replica has crashed, if the connection was closed
	// responding is for how long the replica had sent events of the response; negative: it had sent none.
	responding time.Duration
	// replaced means that another replica responded at the address.
	replaced bool
	// takenOverAt is when another replica took the response over from a silent one; zero: none did. The call has ended.
	takenOverAt time.Time
	err         error
}

// isUnreached reports whether no connection to the replica could be opened, although it was tried.
func (f *failure) isUnreached() bool {
	return f.result == routing.ResultUnreachable && !errors.Is(f.err, errConnectionLimit) && !errors.Is(f.err, errNoCarrier)
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool     *Pool
	codec    Codec
	call     *Call
	conn     *conn
	deadline time.Time
	// stopCancelWatch stops the function that closes the connection when the caller
	// disconnects. It returns false if that function has already started.
	stopCancelWatch func() bool

	replica        *routing.Replica
	sent           time.Time // taken before the first byte was written
	writing        sync.WaitGroup
	writeErr       error
	written        bool      // at least one byte of the request was written
	requestWritten bool      // the complete request was written before reading began
	received       bool      // the replica has sent at least one byte
	sound          bool      // it was recorded that the replica does not crash on the request
	firstEvent     time.Time // when the first event of a stream arrived; zero: none has
	streaming      bool      // the stream has begun, and is counted in the pool's activity
	startSettled   bool      // events may be passed on whichever start of the replica the connection leads to, or that is known
	awaitsEvents   bool      // the header of a stream was read, and waits are bounded by the event timeout
	readLate       bool      // bytes were looked for after the deadline
	readErr        error     // why nothing more is read from the connection; nil: it is
	readFailure    *failure  // that readErr stands for; nil: it is the connection's error
	response       *http.Response
	head           ResponseHead
	endBasis       routing.EndBasis // how it is known that the response is complete; empty: it is not
	// onSelfReport is called with the replica's self-report in each response, including late
	// responses to earlier requests.
	onSelfReport func(SelfReport)
	connReleased bool      // the connection was returned to the pool or closed
	abandonedAt  time.Time // when another replica took the response over; zero: none did
}

// buffers pools the buffers in which requests are encoded.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// writeRequest writes the request. A large body is written by a separate goroutine,
// concurrently with reading the response. It returns nil unless a write has failed.
func (x *exchange) writeRequest(ctx context.Context, h RequestHead) *failure {
	x.sent = clock.Now()
	x.stopCancelWatch = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	_ = x.conn.SetWriteDeadline(clock.RuntimeTime(x.deadline)) // on failure, the write fails too
	buf := buffers.Get().(*[]byte)
	head := x.codec.AppendRequest((*buf)[:0], x.call, h)
	if len(x.call.Body) < concurrentWriteBytes {
		head = append(head, x.call.Body...)
		n, err := x.conn.Write(head)
		x.written, x.requestWritten = n > 0, err == nil
		*buf = head[:0]
		buffers.Put(buf)
		return x.writeFailure(ctx, n, err)
	}
	n, err := x.conn.Write(head)
	x.written = n > 0
	*buf = head[:0]
	buffers.Put(buf)
	if err != nil {
		return x.writeFailure(ctx, n, err)
	}
	x.writing.Go(func() { _, x.writeErr = x.conn.Write(x.call.Body) })
	return nil
}

// writeFailure returns the failure for a write that returned n and err, or nil if err is nil. Only
// if no byte was written is it certain that the request has not run.
func (x *exchange) writeFailure(ctx context.Context, n int, err error) *failure {
	if err == nil {
		return nil
	}
	f := &failure{result: routing.ResultBroken, countsAgainst: ctx.Err() == nil, err: eris.Wrap(err, "write request")}
	if n == 0 {
		f.outcome = coordination.NotRun{Reason: coordination.ReasonConnect}
		return f
	}
	f.outcome = coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer}
	return f
}

// readUntil reads from the connection into p. The error is [os.ErrDeadlineExceeded] if no bytes have arrived by the
// given time or the exchange's deadline. After the deadline it reads once, since a replica may send without end.
func (x *exchange) readUntil(p []byte, until time.Time) (int, error) {
	if until.After(x.deadline) {
		until = x.deadline
	}
	n, err := x.tryRead(p, until)
	if errors.Is(err, os.ErrDeadlineExceeded) && !x.readLate {
		now := clock.Now()
		x.readLate = !now.Before(x.deadline)
		n, err = x.tryRead(p, now.Add(pausedReadTime))
	}
	if n > 0 {
		x.recordArrival()
	}
	return n, err
}

// tryRead reads from the connection, until a time. Once that has passed, the runtime does not look for bytes that have
// arrived, which is why readUntil looks again after a pause of the process.
func (x *exchange) tryRead(p []byte, until time.Time) (int, error) {
	_ = x.conn.SetReadDeadline(clock.RuntimeTime(until)) // on failure, the read fails too
	return x.conn.Read(p)
}

// endReading ends reading with a failure, and returns the error that stands for it.
func (x *exchange) endReading(f *failure) error {
	x.readFailure, x.readErr = f, f.err
	return f.err
}

// recordArrival records that bytes arrived from the replica.
func (x *exchange) recordArrival() {
	if x.conn.via == "" {
		x.pool.reach.Arrived(x.replica.Service, !x.received && !x.conn.reused, clock.Now())
	}
	x.pool.activity.heard(x.replica.Incarnation(), clock.Now())
	x.received = true
}

// beginStream records that the first event of a stream has arrived.
func (x *exchange) beginStream() {
	if !x.firstEvent.IsZero() {
		return
	}
	x.firstEvent = clock.Now()
	x.streaming = true
	x.pool.activity.begin(x.replica.Incarnation(), x.firstEvent)
}

// endStream records that the stream has ended, if it had begun.
func (x *exchange) endStream() {
	if x.streaming {
		x.streaming = false
		x.pool.activity.end(x.replica.Incarnation())
	}
}

// readHeader reads the header of the response to this request. It skips late responses to
// earlier requests.
func (x *exchange) readHeader(ctx context.Context) *failure {
	for range maxStrayResponses + 1 {
		resp, err := x.conn.reader.ReadResponse(&http.Request{Method: x.call.Method})
		if err != nil {
			return x.brokenResponse(ctx, eris.Wrap(err, "read response"))
		}
		if err := transport.CheckStatus(resp.StatusCode); err != nil {
			return x.brokenResponse(ctx, eris.Wrapf(err, "status %d", resp.StatusCode))
		}
		x.response, x.head = resp, x.codec.ReadResponse(resp.StatusCode, resp.Header)
		if resp.StatusCode != http.StatusMisdirectedRequest { // sent by another replica
			x.onSelfReport(x.head.SelfReport)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if x.head.RequestID == x.call.ID {
			return x.checkResponse()
		}
		x.conn.idleTimeout = -1
		if endsWithConn(resp) || resp.ContentLength > maxStrayBytes {
			break
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1)); err != nil {
			return x.brokenResponse(ctx, eris.Wrap(err, "read stray response"))
		} else if n > maxStrayBytes {
			break
		}
	}
	return x.brokenResponse(ctx, errStrayResponses)
}

// hasResponse reports whether the addressed replica has responded to the request, with any status.
func (x *exchange) hasResponse() bool {
	return x.response != nil && x.head.RequestID == x.call.ID && x.response.StatusCode != http.StatusMisdirectedRequest
}

// checkResponse returns nil if the response can be forwarded, and the failure otherwise.
func (x *exchange) checkResponse() *failure {
	status := x.response.StatusCode
	switch {
	case x.head.NotExecuted:
		x.releaseConn(x.skipRejectionBody(), clock.Now())
		// Neither a requested backoff (coordination/routing/backoffs.go) nor a rejection by a brittle replica
		// counts as a failure: the replica is full, and an ejection would move its load to others.
		replaced := status == http.StatusMisdirectedRequest
		says := x.head.SelfReport
		return &failure{
			outcome: coordination.NotRun{Reason: coordination.ReasonUpstreamBusy},
			result:  routing.ResultRefused, countsAgainst: !replaced && says.Backoff == 0 && !says.Brittle, replaced: replaced, err: errRejected,
		}
	case status < http.StatusMultipleChoices && !x.head.Sealed:
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, countsAgainst: true, err: errUnsealed}
	case x.head.Encoded:
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, countsAgainst: true, err: errEncoded}
	}
	return nil
}

// skipRejectionBody reads the body of a rejection, and reports whether it was read to its end. No other replica is asked
// while it waits.
func (x *exchange) skipRejectionBody() bool {
	until := clock.Now().Add(rejectionBodyTime)
	if until.After(x.deadline) {
		until = x.deadline
	}
	_ = x.conn.SetReadDeadline(clock.RuntimeTime(until)) // on failure, the read fails too
	x.conn.reader.SetSource(x.conn.Conn)
	_, err := io.CopyN(io.Discard, x.response.Body, maxRejectionBytes)
	return errors.Is(err, io.EOF)
}

// mayHaveRun is the outcome of a request whose response can't be used.
var mayHaveRun = coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}

// brokenResponse returns the failure for a response that could not be read completely.
func (x *exchange) brokenResponse(ctx context.Context, err error) *failure {
	if x.readFailure != nil {
		return x.readFailure
	}
	reason := coordination.ReasonBrokenAnswer
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = coordination.ReasonDeadline
	}
	return &failure{
		outcome: coordination.MayHaveRun{Reason: reason}, result: routing.ResultBroken,
		countsAgainst: ctx.Err() == nil && !errors.Is(err, errMemory), connClosed: ctx.Err() == nil && isConnectionClosed(err), received: x.received, responding: x.responding(), err: err,
	}
}

// notResponding is the time for which a replica has sent events if it has sent none.
const notResponding time.Duration = -1

// responding returns for how long the replica has sent events of the response.
func (x *exchange) responding() time.Duration {
	if x.firstEvent.IsZero() {
		return notResponding
	}
	return clock.Since(x.firstEvent)
}

// silentReplica returns the failure for a replica that sends nothing, although the deadline has
// not passed.
func (x *exchange) silentReplica() *failure {
	return &failure{
		outcome: coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer},
		result:  routing.ResultSilent, countsAgainst: true, err: errSilent,
	}
}

// takenOver returns the failure for a silent replica whose response another one took over. Its silence has been
// recorded.
func (x *exchange) takenOver() *failure {
	f := x.silentReplica()
	f.countsAgainst, f.takenOverAt = false, x.abandonedAt
	return f
}

// deadlineExpired returns the failure for a response that has not started by the deadline.
func (x *exchange) deadlineExpired() *failure {
	return &failure{
		outcome: coordination.MayHaveRun{Reason: coordination.ReasonDeadline},
		result:  routing.ResultSilent, err: errSilent,
	}
}

// isAtDeadline reports whether the response had not ended by the deadline.
func (f *failure) isAtDeadline() bool { return errors.Is(f.err, errSilent) && f.takenOverAt.IsZero() }

// releaseConn returns the connection to the pool if it can be reused, and closes it otherwise.
// complete tells whether the response was read to its end.
func (x *exchange) releaseConn(complete bool, now time.Time) {
	if x.connReleased {
		return // the response ended with its connection
	}
	x.connReleased = true
	x.endStream()
	callerConnected := x.stopCancelWatch == nil || x.stopCancelWatch()
	if !x.requestWritten && complete && callerConnected {
		// The request's body may not be written completely yet. Wait only briefly for
		// that: a replica that responded early may never read the rest.
		complete = x.bodyWritten()
	}
	if !complete || !callerConnected || x.conn.idleTimeout < 0 || x.response.Close || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		x.writing.Wait()
		return
	}
	if idle := x.head.SelfReport.Idle; idle > 0 {
		x.conn.idleTimeout = time.Duration(float64(idle) * idleTimeoutFraction)
	}
	x.conn.reader.SetSource(x.conn.Conn)
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
	case <-time.After(bodyWriteTimeout):
		return false
	}
}

// closeConn closes the connection, so that the replica stops processing the request.
func (x *exchange) closeConn() {
	x.connReleased = true
	x.endStream()
	if x.stopCancelWatch != nil {
		x.stopCancelWatch()
	}
	x.pool.discard(x.conn)
	x.writing.Wait()
}

// closeUnlessReleased closes the connection if it was neither returned to the pool nor closed.
func (x *exchange) closeUnlessReleased() {
	if !x.connReleased {
		x.closeConn()
	}
}

// returnUnused returns the connection to the pool. Nothing was sent on it.
func (x *exchange) returnUnused(now time.Time) {
	x.connReleased = true
	x.pool.put(x.conn, now)
}

// unreachable returns the failure for a connection that could not be opened. Nothing
// was sent.
func unreachable(ctx context.Context, err error) *failure {
	countsAgainst := ctx.Err() == nil && !errors.Is(err, errConnectionLimit) && !errors.Is(err, errNoCarrier)
	var opErr *net.OpError
	if errors.As(err, &opErr) && errors.Is(opErr.Err, os.ErrDeadlineExceeded) && ctx.Err() != nil {
		countsAgainst = false
	}
	return &failure{
		outcome: coordination.NotRun{Reason: coordination.ReasonConnect},
		result:  routing.ResultUnreachable, countsAgainst: countsAgainst, err: eris.Wrap(err, "connect"),
	}
}
