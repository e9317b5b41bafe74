// This file implements one exchange at a simulated replica: it runs the request, responds,
// and injects the failures of the replica's behaviour.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// exchange is one request at a replica and its response.
type exchange struct {
	*Replica
	conn         net.Conn
	head         standin.RequestHead
	id           string // of the request
	run          *Run
	behaviour    behaviour
	disconnected chan struct{} // closed when the daemon closes the connection
	random       float64       // random number in [0, 1) that selects the failure, see selected
	surplus      *string       // surplus response that is written before the next one on the connection
	// bodyRead is closed when body is read, for an upload; nil for any other request.
	bodyRead chan struct{}
	body     string
}

// serve handles one request. It returns false if the connection must be closed.
func (x *exchange) serve(req *http.Request, body string) bool {
	now := time.Now()
	arrival := Arrival{Replica: x.ID, Service: x.Service, At: now, Deadline: now.Add(x.head.Remaining), Conn: x.connName()}
	if x.head.Expected != x.ID {
		return x.write(standin.Misdirected(x.id, x.ID))
	}
	if !x.recordArrival(arrival) {
		return false
	}
	if x.failsWhileCold(now) {
		resetConn(x.conn.(*net.TCPConn))
		return false
	}
	if x.crowded != nil {
		return x.serveCrowded(&Run{Arrival: arrival, Method: req.Method, Target: req.URL.RequestURI(), Body: body, Workspace: x.head.Workspace})
	}
	x.mu.Lock()
	x.behaviour = x.Replica.behaviour
	full := x.busy >= x.slots
	if !full {
		x.busy++
	}
	x.mu.Unlock()
	if full || x.selected(x.behaviour.Shed) {
		if !full {
			x.releaseSlot()
		}
		return x.refuseRequest()
	}
	defer x.releaseSlot()
	x.run = x.ledger.Began(x.id, Run{
		Arrival: arrival, Method: req.Method, Target: req.URL.RequestURI(), Body: body, Workspace: x.head.Workspace,
		Unread: x.bodyRead != nil, Unframed: x.isUnframed(),
	})
	if *x.surplus != "" {
		_, _ = x.conn.Write([]byte(*x.surplus))
		*x.surplus = ""
	}
	if n := crashingNumber(req.URL.Path); n > 0 {
		return x.crash(n)
	}
	if n := crashingPart(x.head.Prompt); n > 0 {
		return x.crashWriting(n)
	}
	if isStreamPath(req.URL.Path) {
		return x.stream()
	}
	return x.plain()
}

// isStreamPath reports whether the path is of a route with streams.
func isStreamPath(path string) bool {
	return slices.ContainsFunc([]string{prefixChat, prefixReply, prefixSingle, prefixUpload}, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// recordArrival records the request in the ledger. It returns false if the replica has terminated:
// the connection was reset, and the request counts as sent to a replica that is gone.
func (x *exchange) recordArrival(a Arrival) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.terminated {
		x.ledger.Arrived(x.id, a)
	}
	return !x.terminated
}

// statements returns the replica's statements about itself for a response that is about to be
// written, without its load.
func (x *exchange) statements() standin.SelfReport {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.departing {
		x.ledger.DepartureAnnounced(x.id, x.ID)
	}
	says := standin.SelfReport{Leaving: x.departing}
	if x.crowded != nil && x.crowded.brittle.isOn(time.Now()) {
		says.Brittle = itoa(x.crowded.brittle.limit)
	}
	return says
}

// statementsWithLoad is like statements, with the load.
func (x *exchange) statementsWithLoad() standin.SelfReport {
	says := x.statements()
	x.mu.Lock()
	defer x.mu.Unlock()
	says.Load = &standin.Load{Running: x.busy, Slots: x.slots}
	return says
}

func (x *exchange) releaseSlot() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy--
}

// selected reports whether the failure with this probability was selected. All failures of an
// exchange share one random number, so that at most one is selected.
func (x *exchange) selected(share float64) bool {
	hit := x.random >= 0 && x.random < share
	x.random -= share
	return hit
}

// work waits for d, and for the end of a silence. It returns false if the daemon closed the connection first.
func (x *exchange) work(d time.Duration) bool {
	for d > 0 {
		select {
		case <-x.disconnected:
			return false
		case <-time.After(d):
		}
		d = x.untilItSpeaks()
	}
	return true
}

// connName names the connection, as its link does.
func (x *exchange) connName() string {
	return connName(x.conn.RemoteAddr().String(), x.conn.LocalAddr().String())
}

func (x *exchange) finish(status int) { x.ledger.Ended(x.run, status, time.Now()) }

// breakOffWith ends the run with a status because the replica is about to break the response off.
func (x *exchange) breakOffWith(status int) {
	x.ledger.BrokeOff(x.run, time.Now())
	x.finish(status)
}

// endSilently ends the run because the daemon closed the connection, or because the replica closes it after hangTime.
func (x *exchange) endSilently(closedByDaemon bool) {
	if !closedByDaemon {
		x.ledger.BrokeOff(x.run, time.Now())
	}
	x.finish(0)
}

const (
	minWork  = 5 * time.Millisecond
	maxWork  = 60 * time.Millisecond
	hangTime = 20 * time.Second
	// One request in slowOneIn runs for slowWork, so that callers disconnect and daemons
	// begin to shut down while it runs.
	slowOneIn = 16
	slowWork  = 1700 * time.Millisecond
)

// workDuration returns the time that one of the pieces of a response takes: the complete response
// of a plain request, or one event of a stream.
func (x *exchange) workDuration(pieces int) time.Duration {
	if isSteady(x.id) && pieces > 1 {
		return steadyWork/2 + rand.N(steadyWork)
	}
	if hashOf(x.id)%slowOneIn == 0 {
		return slowWork / time.Duration(pieces)
	}
	return minWork + rand.N(maxWork-minWork)
}

func (x *exchange) plain() bool {
	if !x.work(x.workDuration(1)) {
		x.finish(0)
		return false
	}
	switch {
	case x.selected(x.behaviour.Fail):
		x.finish(500)
		return x.write(standin.Response(500, x.id, x.ID, "failed", x.statements()))
	case x.selected(x.behaviour.Hang):
		x.endSilently(!x.work(hangTime))
		return false
	case x.selected(x.behaviour.Truncate):
		x.breakOffWith(200)
		response := x.framed(standin.Response(200, x.id, x.ID, plainBody(x.id, x.ID), x.statements()))
		x.write(response[:len(response)*2/3])
		return x.breakOff()
	case x.selected(x.behaviour.ResetAfterRun):
		x.breakOffWith(0)
		resetConn(x.conn.(*net.TCPConn))
		return false
	}
	x.finish(200)
	response := standin.Response(200, x.id, x.ID, plainBody(x.id, x.ID), x.statements())
	if x.isUnframed() {
		x.write(standin.Unframed(response))
		return false
	}
	if x.selected(x.behaviour.Surplus) {
		if rand.IntN(2) == 0 {
			response += response
		} else {
			*x.surplus = response
		}
	}
	return x.write(response)
}

// stream responds with events, starting after the last one that the caller received. It returns
// false if the connection must be closed.
func (x *exchange) stream() bool {
	from := x.head.LastEventID
	if x.selected(x.behaviour.Fail) {
		x.finish(500)
		return x.write(standin.Response(500, x.id, x.ID, "failed", x.statements()))
	}
	fault := x.streamFault()
	head := x.framed(standin.StreamHead(x.id, x.ID, x.statementsWithLoad()))
	events := streamEvents(x.streamID())
	for i := range events {
		events[i] = withVersion(events[i], x.version)
	}
	for i := from; i < len(events); i++ {
		if !x.work(x.eventDuration(len(events))) || i == from && !x.write(head) {
			x.finish(0)
			return false
		}
		if fault != nil && i == (from+len(events))/2 {
			fault(events[i])
			return false
		}
		if !x.write(x.chunk(events[i])) {
			x.finish(0)
			return false
		}
	}
	if !x.awaitBody() {
		x.finish(0)
		return false
	}
	x.finish(200)
	if from >= len(events) {
		x.write(head)
	}
	return !x.isUnframed() && x.write("0\r\n\r\n")
}

// streamFault returns the failure that ends the stream halfway, or nil if none was selected.
func (x *exchange) streamFault() func(event string) {
	hang, truncate, reset := x.selected(x.behaviour.Hang), x.selected(x.behaviour.Truncate), x.selected(x.behaviour.ResetAfterRun)
	switch {
	case hang:
		return func(string) {
			x.endSilently(!x.work(hangTime))
		}
	case truncate:
		return func(event string) {
			x.breakOffWith(200)
			x.truncate(event)
		}
	case reset:
		return func(string) {
			x.breakOffWith(0)
			resetConn(x.conn.(*net.TCPConn))
		}
	}
	return nil
}

// chunk encodes a piece of a stream with chunked transfer coding, unless the stream is unframed.
func (x *exchange) chunk(piece string) string {
	if x.isUnframed() {
		return piece
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
}

// truncate truncates a stream, either within an event or after it. In the latter case only the
// final chunk is missing.
func (x *exchange) truncate(piece string) {
	if hashOf(x.id)%2 == 0 {
		whole := x.chunk(piece)
		x.write(whole[:len(whole)-len(piece)/2-len("\r\n")])
		return
	}
	x.write(x.chunk(piece))
	x.breakOff()
}

func (x *exchange) write(answer string) bool {
	n, err := x.conn.Write([]byte(answer))
	if x.run != nil && n > 0 {
		x.ledger.Wrote(x.run, n, time.Now())
	}
	return err == nil
}
