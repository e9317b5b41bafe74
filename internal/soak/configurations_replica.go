// This file simulates the replicas of runs with configurations in series, which have their own pace, and record
// who ended each response.

package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// servedRun is a request at a replica.
type servedRun struct {
	Replica string    `json:"replica"`
	At      time.Time `json:"at"`
	From    int       `json:"from"`   // events that the caller had
	Events  int       `json:"events"` // events sent
	Ended   time.Time `json:"ended"`
	// End is why it ended: complete, rejected, closed (by the daemon) or broken (by the replica). Empty: it has not.
	End string `json:"end"`
}

// pacedReplica is a replica whose responses take as long as their route says.
type pacedReplica struct {
	id, domain string
	startTime  time.Time
	eventTime  time.Duration // of one event of a stream
	maxConns   int
	listener   net.Listener
	link       *Link
	runs       *runRecords

	mu          sync.Mutex
	conns       map[net.Conn]struct{}
	queue       *slotQueue
	maxQueued   int
	silentUntil time.Time
	endless     Condition // of the next stream
	garbles     bool
	terminated  bool
}

// runRecords records the runs of all replicas. It is safe for concurrent use.
type runRecords struct {
	mu   sync.Mutex
	runs map[string][]*servedRun // by request
}

func (r *runRecords) began(id string, run *servedRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run)
}

func (r *runRecords) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *pacedReplica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refused := r.terminated || r.maxConns > 0 && len(r.conns) >= r.maxConns
		if !refused {
			r.conns[c] = struct{}{}
		}
		r.mu.Unlock()
		if refused {
			resetConn(c.(*net.TCPConn))
			continue
		}
		go r.serve(c)
	}
}

func (r *pacedReplica) terminate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.terminated = true
	_ = r.listener.Close()
	for c := range r.conns {
		resetConn(c.(*net.TCPConn))
	}
}

func (r *pacedReplica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		x := &pacedExchange{pacedReplica: r, conn: c, head: standin.ReadRequest(req.Header), gone: make(chan struct{})}
		watched := make(chan struct{})
		go func() {
			if _, err := reader.Peek(1); err != nil {
				close(x.gone)
			}
			close(watched)
		}()
		if !x.respond(routeOfPath(req.URL.Path)) {
			return
		}
		<-watched
	}
}

// pacedExchange is a request at a paced replica and its response.
type pacedExchange struct {
	*pacedReplica
	conn net.Conn
	head standin.RequestHead
	gone chan struct{} // closed when the daemon closes the connection
	run  *servedRun
}

// wait waits for d, and for the end of a silence. It returns false if the daemon closed the connection first.
func (x *pacedExchange) wait(d time.Duration) bool {
	for {
		select {
		case <-x.gone:
			return false
		case <-time.After(d):
		}
		x.mu.Lock()
		d = time.Until(x.silentUntil)
		x.mu.Unlock()
		if d <= 0 {
			return true
		}
	}
}

func (x *pacedExchange) end(why string) {
	x.runs.update(func() {
		if x.run.End == "" {
			x.run.Ended, x.run.End = time.Now(), why
		}
	})
}

// write writes a part of a response. It records who ended the connection if it can't be written.
func (x *pacedExchange) write(text string) bool {
	if _, err := x.conn.Write([]byte(text)); err != nil {
		x.endBroken()
		return false
	}
	return true
}

func (x *pacedExchange) endBroken() {
	x.mu.Lock()
	why := "closed"
	if x.terminated {
		why = "broken"
	}
	x.mu.Unlock()
	x.end(why)
}

// respond serves a request. It returns false if the connection must be closed.
func (x *pacedExchange) respond(route *pacedRoute) bool {
	if x.head.ID == "" { // a health check
		if !x.wait(0) {
			return false
		}
		_, err := io.WriteString(x.conn, standin.Response(200, "", "", "", standin.SelfReport{}))
		return err == nil
	}
	x.run = &servedRun{Replica: x.id, At: time.Now(), From: x.head.LastEventID}
	x.runs.began(x.head.ID, x.run)
	if !x.wait(0) { // a silent replica does not even reject
		x.endBroken()
		return false
	}
	x.mu.Lock()
	place := x.queue.arriveWithin(x.maxQueued)
	endless, garbles := x.endless, x.garbles && rand.IntN(2) == 0
	if route.Events > 0 {
		x.endless = ""
	}
	x.mu.Unlock()
	if place == nil {
		x.end("rejected")
		return x.write(standin.NotRun(x.head.ID, standin.SelfReport{}))
	}
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.queue.leave(place)
	}()
	select {
	case <-x.gone:
		x.endBroken()
		return false
	case <-place.started:
	}
	if route.Events == 0 {
		if !x.wait(route.Work/2 + rand.N(route.Work)) {
			x.endBroken()
			return false
		}
		response := standin.Response(200, x.head.ID, x.id, "done", standin.SelfReport{})
		if garbles {
			response += response
		}
		ok := x.write(response)
		x.end("complete")
		return ok
	}
	return x.stream(route, endless, garbles)
}

func (x *pacedExchange) stream(route *pacedRoute, endless Condition, garbles bool) bool {
	head := standin.StreamHead(x.head.ID, x.id, standin.SelfReport{Load: &standin.Load{Running: x.queue.held(), Slots: x.queue.slots}})
	if endless == EndlessHeads {
		return x.writeEndless(strings.TrimSuffix(head, "\r\n"), func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, endlessLine) })
	}
	for i := x.head.LastEventID; i < route.Events; i++ {
		if !x.wait(x.eventTime) {
			x.endBroken()
			return false
		}
		if i == x.head.LastEventID && !x.write(head) {
			return false
		}
		if endless == EndlessBodies && i == route.Events/2 {
			return x.writeEndless("", func(int) string { return fmt.Sprintf("%x\r\n%s\r\n", len(endlessLine), endlessLine) })
		}
		event := pacedEvent(i + 1)
		if !x.write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		x.runs.update(func() { x.run.Events++ })
	}
	tail := "0\r\n\r\n"
	if garbles {
		tail += standin.Response(200, x.head.ID, x.id, "late", standin.SelfReport{})
	}
	ok := x.write(tail)
	x.end("complete")
	return ok
}

// endlessLine is written over and over by a response that has no end.
var endlessLine = strings.Repeat("z", 64<<10)

// endlessBytesPerSecond is far below what a link of a VM carries.
const endlessBytesPerSecond = 100 << 20

// writeEndless writes a start and then pieces until the daemon closes the connection. The run counts as broken by the
// replica from the start on.
func (x *pacedExchange) writeEndless(start string, piece func(i int) string) bool {
	x.end("broken")
	if !x.write(start) {
		return false
	}
	for i := 0; ; i++ {
		if !x.write(piece(i)) {
			return false
		}
		time.Sleep(time.Duration(float64(len(endlessLine)) / endlessBytesPerSecond * float64(time.Second)))
		if i*len(endlessLine) > 1<<30 {
			return false
		}
	}
}

// pacedEvent returns an event of a stream, some 300 bytes as of nine tokens.
func pacedEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("token ", 45))
}
