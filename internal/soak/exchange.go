// This file plays one exchange of a replica: it runs the request, answers it, and
// misbehaves as the replica does.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// exchange is one request at a replica.
type exchange struct {
	*Replica
	conn      net.Conn
	head      standin.RequestHead
	id        string // of the request
	run       *Run
	behaviour behaviour
	gone      chan struct{} // closed when the daemon's end is closed
	draw      float64
	stray     *string // an answer that is written in the place of the next one
}

// serve answers one request. It returns false if the connection ends.
func (x *exchange) serve(req *http.Request, body string) bool {
	now := time.Now()
	arrival := Arrival{Replica: x.ID, Service: x.Service, At: now, Deadline: now.Add(x.head.Remaining)}
	if x.head.Expected != x.ID {
		return x.write(standin.Misdirected(x.id, x.ID))
	}
	x.ledger.Arrived(x.id, arrival)
	if x.fallsOver(now) {
		resetConn(x.conn.(*net.TCPConn))
		return false
	}
	x.mu.Lock()
	x.behaviour = x.Replica.behaviour
	full := x.busy >= x.slots
	if !full {
		x.busy++
	}
	x.mu.Unlock()
	if full || x.drawn(x.behaviour.Shed) {
		if !full {
			x.leaveSlot()
		}
		return x.turnAway()
	}
	defer x.leaveSlot()
	x.run = x.ledger.Began(x.id, Run{
		Arrival: arrival, Method: req.Method, Target: req.URL.RequestURI(), Body: body, Workspace: x.head.Workspace,
	})
	if *x.stray != "" {
		_, _ = x.conn.Write([]byte(*x.stray))
		*x.stray = ""
	}
	if n := crashingNumber(req.URL.Path); n > 0 {
		return x.crash(n)
	}
	if strings.HasPrefix(req.URL.Path, prefixChat) || strings.HasPrefix(req.URL.Path, prefixReply) {
		return x.stream()
	}
	return x.plain()
}

// says is what the replica says of itself in an answer that is about to go out, its load left
// out.
func (x *exchange) says() standin.SelfReport {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.leaving {
		x.ledger.SaysThatItLeaves(x.id, x.ID)
	}
	return standin.SelfReport{Leaving: x.leaving}
}

// saysLoad is the same with the load.
func (x *exchange) saysLoad() standin.SelfReport {
	says := x.says()
	x.mu.Lock()
	defer x.mu.Unlock()
	says.Load = &standin.Load{Running: x.busy, Slots: x.slots}
	return says
}

func (x *exchange) leaveSlot() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy--
}

// drawn takes its share of the one draw of the exchange.
func (x *exchange) drawn(share float64) bool {
	hit := x.draw >= 0 && x.draw < share
	x.draw -= share
	return hit
}

// work waits as long as the work takes, or until the daemon's end is closed.
func (x *exchange) work(d time.Duration) bool {
	select {
	case <-x.gone:
		return false
	case <-time.After(d):
		return true
	}
}

func (x *exchange) end(status int) { x.ledger.Ended(x.run, status, time.Now()) }

const (
	leastWork = 5 * time.Millisecond
	mostWork  = 60 * time.Millisecond
	hangTime  = 20 * time.Second
	// One request in slowOneIn works much longer, so that callers leave and stops
	// begin while it runs.
	slowOneIn = 16
	slowWork  = 1700 * time.Millisecond
)

// workOf returns how long a plain request works, or an event of a stream takes.
func (x *exchange) workOf(pieces int) time.Duration {
	if isSteady(x.id) && pieces > 1 {
		return steadyWork/2 + rand.N(steadyWork)
	}
	if hashOf(x.id)%slowOneIn == 0 {
		return slowWork / time.Duration(pieces)
	}
	return leastWork + rand.N(mostWork-leastWork)
}

func (x *exchange) plain() bool {
	if !x.work(x.workOf(1)) {
		x.end(0)
		return false
	}
	switch {
	case x.drawn(x.behaviour.Fail):
		x.end(500)
		return x.write(standin.Response(500, x.id, x.ID, "failed", x.says()))
	case x.drawn(x.behaviour.Hang):
		x.work(hangTime)
		x.end(0)
		return false
	case x.drawn(x.behaviour.Break):
		x.end(200)
		whole := standin.Response(200, x.id, x.ID, plainBody(x.id, x.ID), x.says())
		_, _ = x.conn.Write([]byte(whole[:len(whole)*2/3]))
		return false
	case x.drawn(x.behaviour.Lose):
		x.end(0)
		resetConn(x.conn.(*net.TCPConn))
		return false
	}
	x.end(200)
	whole := standin.Response(200, x.id, x.ID, plainBody(x.id, x.ID), x.says())
	if x.drawn(x.behaviour.Surplus) {
		if rand.IntN(2) == 0 {
			whole += whole
		} else {
			*x.stray = whole
		}
	}
	_, err := x.conn.Write([]byte(whole))
	return err == nil
}

// stream answers with events, from the one after the caller's last. It returns false
// if the connection ends.
func (x *exchange) stream() bool {
	from := x.head.LastEventID
	if x.drawn(x.behaviour.Fail) {
		x.end(500)
		return x.write(standin.Response(500, x.id, x.ID, "failed", x.says()))
	}
	fault := x.streamFault()
	head := standin.StreamHead(x.id, x.ID, x.saysLoad())
	events := streamEvents(x.id)
	for i := from; i < len(events); i++ {
		if !x.work(x.workOf(len(events))) || i == from && !x.write(head) {
			x.end(0)
			return false
		}
		if fault != nil && i == (from+len(events))/2 {
			fault(events[i])
			return false
		}
		if !x.write(chunk(events[i])) {
			x.end(0)
			return false
		}
	}
	x.end(200)
	if from >= len(events) {
		x.write(head)
	}
	return x.write("0\r\n\r\n")
}

// streamFault draws how the stream ends in its middle; nil if it does not.
func (x *exchange) streamFault() func(event string) {
	hang, broken, lose := x.drawn(x.behaviour.Hang), x.drawn(x.behaviour.Break), x.drawn(x.behaviour.Lose)
	switch {
	case hang:
		return func(string) {
			x.work(hangTime)
			x.end(0)
		}
	case broken:
		return func(event string) {
			x.end(200)
			x.breakOff(event)
		}
	case lose:
		return func(string) {
			x.end(0)
			resetConn(x.conn.(*net.TCPConn))
		}
	}
	return nil
}

// chunk is a piece of a body in chunks.
func chunk(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }

// breakOff ends a stream inside an event, or between two: then only the end of
// the stream is missing.
func (x *exchange) breakOff(piece string) {
	if hashOf(x.id)%2 == 0 {
		_, _ = fmt.Fprintf(x.conn, "%x\r\n%s", len(piece), piece[:len(piece)/2])
		return
	}
	x.write(chunk(piece))
}

func (x *exchange) write(answer string) bool {
	_, err := x.conn.Write([]byte(answer))
	return err == nil
}
