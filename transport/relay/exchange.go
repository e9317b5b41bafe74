// This file carries out one exchange on one connection: it writes the request,
// waits for the answer's first lines, and says what can be known of the request
// when there is none.

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
)

// Settings of exchanges.
const (
	// separateWriteBytes is the size from which a body is written beside the
	// reading of the answer, because a replica may answer before it has read all.
	separateWriteBytes = 16 << 10
	// strayAnswers is how many answers to earlier requests are passed over.
	strayAnswers = 2
	// maxRefusalBytes is how much of a refusal's body is read to be able to use
	// its connection again.
	maxRefusalBytes = 4 << 10
)

// Errors of exchanges.
var (
	errStray    = errors.New("answers on the connection belong to other requests")
	errUnsealed = errors.New("success without the replica's seal")
	errEncoded  = errors.New("answer is encoded, which nobody asked for")
	errSilent   = errors.New("replica is silent")
	errRefused  = errors.New("replica says that it did not run the request")
)

// failure is an exchange without a usable answer.
type failure struct {
	outcome coordination.Outcome
	result  routing.Result
	blame   bool // the result says something of the replica
	err     error
}

// exchange is one request on one connection.
type exchange struct {
	pool     *Pool
	codec    Codec
	call     *Call
	conn     *conn
	deadline time.Time
	stop     func() bool // ends the watch for the caller's leaving

	writing  sync.WaitGroup
	writeErr error
	whole    bool // the request was written whole when the answer came
	response *http.Response
	head     Head
	ended    bool // the connection was given back or closed
}

// buffers holds the buffers in which requests are put together.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// begin writes the request. The failure is nil if at least one byte of it was
// written.
func (x *exchange) begin(ctx context.Context, s Send) *failure {
	x.stop = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	_ = x.conn.SetWriteDeadline(x.deadline)
	buf := buffers.Get().(*[]byte)
	head := x.codec.AppendRequest((*buf)[:0], x.call, s)
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

// await waits until the replica says something. It returns false if it stays
// silent until then.
func (x *exchange) await(until time.Time) (bool, error) {
	if x.conn.reader.Buffered() > 0 {
		return true, nil
	}
	if until.After(x.deadline) {
		until = x.deadline
	}
	_ = x.conn.SetReadDeadline(until)
	_, err := x.conn.reader.Peek(1)
	if err == nil {
		_ = x.conn.SetReadDeadline(x.deadline)
		return true, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return false, err
}

// readHead reads the first lines of the answer to this request. Answers to
// earlier requests that come late are passed over.
func (x *exchange) readHead(ctx context.Context) *failure {
	for range strayAnswers + 1 {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return x.broken(ctx, eris.Wrap(err, "read answer"))
		}
		x.response, x.head = resp, x.codec.ReadHead(resp.StatusCode, resp.Header)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if x.head.Answers == x.call.ID {
			return x.judge()
		}
		x.conn.idle = -1
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // its end is the connection's
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return x.broken(ctx, eris.Wrap(err, "read stray answer"))
		}
	}
	return x.broken(ctx, errStray)
}

// judge decides whether the answer can be passed on.
func (x *exchange) judge() *failure {
	status := x.response.StatusCode
	switch {
	case x.head.NotRun:
		_, err := io.CopyN(io.Discard, x.response.Body, maxRefusalBytes)
		x.end(errors.Is(err, io.EOF), time.Now())
		return &failure{
			outcome: coordination.NotRun{Reason: coordination.ReasonUpstreamBusy},
			result:  routing.ResultRefused, blame: status != http.StatusMisdirectedRequest, err: errRefused,
		}
	case status < http.StatusMultipleChoices && !x.head.Sealed:
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, blame: true, err: errUnsealed}
	case x.head.Encoded:
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, blame: true, err: errEncoded}
	}
	return nil
}

var mayHaveRun = coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}

func (x *exchange) broken(ctx context.Context, err error) *failure {
	reason := coordination.ReasonBrokenAnswer
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = coordination.ReasonDeadline
	}
	return &failure{outcome: coordination.MayHaveRun{Reason: reason}, result: routing.ResultBroken, blame: ctx.Err() == nil, err: err}
}

// end gives the connection back if nothing is left on it, and closes it
// otherwise. whole says that the answer was read to its end.
func (x *exchange) end(whole bool, now time.Time) {
	x.ended = true
	live := x.stop == nil || x.stop()
	if !x.whole && whole && live {
		// The rest of a long body may still be on its way out. It is not waited
		// for: a replica that answered early may never read it.
		whole = x.bodyWritten()
	}
	if !whole || !live || x.conn.idle < 0 || x.response.Close || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		x.writing.Wait()
		return
	}
	if x.head.Idle > 0 {
		x.conn.idle = time.Duration(float64(x.head.Idle) * idleShare)
	}
	x.pool.put(x.conn, now)
}

// bodyWriteGrace is how long the end of a body's writing is waited for after a
// whole answer.
const bodyWriteGrace = 2 * time.Millisecond

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
	if x.stop != nil {
		x.stop()
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
