package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/platform"
	"hingewinch.org/hingewinch/transport/relay"
)

// arrival is a request that a replica received.
type arrival struct {
	request *http.Request
	body    []byte
	conn    net.Conn
	reader  *bufio.Reader
	nth     int // index among all requests that the replica received, from 0
}

// id returns the id of the attempt.
func (a *arrival) id() string { return a.request.Header.Get("Attempt-Id") }

// replica is a fake replica whose responses are scripted by a test.
type replica struct {
	routing.Replica
	listener net.Listener
	// script responds to one request. If it returns false, the connection is closed.
	script func(a *arrival) bool
	// skipBody leaves the request's body unread when the script is called.
	skipBody bool

	mu       sync.Mutex
	arrivals []*arrival
	conns    int
	open     []net.Conn
	closed   chan struct{} // receives a value when the relay closed a connection
}

// scripts guards the state that scripts share, and replica.script.
var scripts sync.Mutex

// turn counts a call in n and returns its number, from 1.
func turn(n *int) int {
	scripts.Lock()
	defer scripts.Unlock()
	*n++
	return *n
}

func startReplica(id string, script func(a *arrival) bool) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &replica{listener: l, script: script, closed: make(chan struct{}, 64)}
	r.Replica = routing.NewReplica(routing.Replica{ID: routing.ReplicaID(id), Service: "s", Domain: "z", Slots: 8, Address: l.Addr().String()})
	go r.accept()
	cleanUp(func() { _ = l.Close() })
	return r
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		r.open = append(r.open, c)
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			r.closed <- struct{}{}
			return
		}
		a := &arrival{request: req, conn: c, reader: reader}
		if !r.skipBody {
			a.body, _ = io.ReadAll(req.Body)
		}
		if req.Header.Get("Expect-Replica") != string(r.ID) {
			// Real replicas do the same. A parallel test process may still send requests for a
			// replica of its own that used this port before.
			answer(a, http.StatusMisdirectedRequest, "", "")
			return
		}
		r.mu.Lock()
		a.nth = len(r.arrivals)
		r.arrivals = append(r.arrivals, a)
		r.mu.Unlock()
		scripts.Lock()
		script := r.script
		scripts.Unlock()
		if !script(a) {
			return
		}
	}
}

// end simulates a crash: connections are reset, and new ones are refused. It returns false, for
// use as the result of a script.
func (r *replica) end() bool {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		reset(c)
	}
	return false
}

func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.arrivals)
}

func (r *replica) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func (r *replica) arrival(i int) *arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[i]
}

const sealed = "Replica-Seal: good\r\n"

// answer writes a complete response with a content length.
func answer(a *arrival, status int, headers, body string) bool {
	return raw(a, fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, a.id(), headers, len(body), body))
}

func raw(a *arrival, text string) bool {
	_, err := a.conn.Write([]byte(text))
	return err == nil
}

// reset closes a connection with a TCP reset. It returns false, for use as the result of a script.
func reset(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	return false
}

// streamHead writes the header of a chunked event stream.
func streamHead(a *arrival) {
	raw(a, "HTTP/1.1 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n")
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

func chunk(a *arrival, text string) { raw(a, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func streamEnd(a *arrival) bool { return raw(a, "0\r\n\r\n") }

// caller is a Sink that records what it is given.
type caller struct {
	status  int
	header  http.Header
	body    []byte
	refusal coordination.Outcome
	broken  bool
	whole   bool
	wrote   chan struct{}
}

func (c *caller) Answer(status int, h http.Header, body []byte) error {
	c.status, c.header, c.body, c.whole = status, h, body, true
	return nil
}

func (c *caller) Begin(status int, h http.Header) error {
	c.status, c.header = status, h.Clone()
	return nil
}

func (c *caller) Write(p []byte) error {
	c.body = append(c.body, p...)
	if c.wrote != nil {
		select {
		case c.wrote <- struct{}{}:
		default:
		}
	}
	return nil
}

func (c *caller) Refuse(o coordination.Outcome) { c.refusal = o }
func (c *caller) Abort()                        { c.broken = true }

// nobody is an Observer that records some of the notifications.
type nobody struct {
	mu         sync.Mutex
	passedOver []routing.ReplicaID
	crowded    []routing.ReplicaID
	endedUnder []routing.RequestID
	heldBack   []routing.ContentKey
}

func (n *nobody) Finished(*relay.Call, *relay.Summary) {}

func (n *nobody) Said(*routing.Replica, *relay.Call, relay.Statement) {}

func (n *nobody) Rests(*routing.Replica, *relay.Call, time.Duration) {}
func (n *nobody) Leaves(*routing.Replica, *relay.Call)               {}
func (n *nobody) Replaced(*routing.Replica, *relay.Call)             {}

func (n *nobody) Ejected(r *routing.Replica, _ *relay.Call, _ error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.passedOver = append(n.passedOver, r.ID)
}

func (n *nobody) Crowded(r *routing.Replica, _ *relay.Call, _ relay.ReportedLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crowded = append(n.crowded, r.ID)
}

func (n *nobody) EndedUnder(_ *routing.Replica, c *relay.Call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endedUnder = append(n.endedUnder, c.ID)
}

func (n *nobody) HeldBack(c routing.ContentKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldBack = append(n.heldBack, c)
}

// world is a relay in front of some replicas.
type world struct {
	relay *relay.Relay
	view  *routing.View
	route *routing.Route
	seen  *nobody
}

func newWorld(route routing.Route, replicas ...*replica) *world {
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Shares = []routing.Share{{Service: "s", Weight: 1}}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	if route.FirstByteTarget == 0 {
		route.FirstByteTarget = 200 * time.Millisecond
	}
	t, err := routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s"}}})
	Expect(err).NotTo(HaveOccurred())
	w := &world{seen: &nobody{}}
	w.route, _ = t.Match("h", "/")
	pool := &routing.Pool{}
	for _, r := range replicas {
		pool.Ready = append(pool.Ready, r.Replica)
	}
	w.view = &routing.View{Table: t, Domain: "z", Pools: map[routing.ServiceName]*routing.Pool{"s": pool}}
	w.relay = relay.New(relay.Options{
		View: func() *routing.View { return w.view },
		Placer: &routing.Placer{
			Loads: routing.NewLoads(), Health: routing.NewHealth(), Rests: routing.NewRests(), Leavings: routing.NewLeavings(),
		},
		Budgets: routing.NewRetryBudgets(routing.RetryRule{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}, 1),
		Borrow:  func(context.Context, routing.ServiceName, routing.Retries) routing.Retries { return 0 },
		Codec:   platform.Codec{}, Observer: w.seen, Pool: relay.NewPool(), Crashes: routing.NewCrashes(),
	})
	return w
}

func (w *world) call(id, method, body string) *relay.Call {
	c := &relay.Call{Method: method, Target: "/x?y=1", Host: "h", Body: []byte(body), Header: http.Header{"Attempt-Id": {id}}}
	c.ID, c.Route, c.Service = routing.RequestID(id), w.route, "s"
	c.Content = routing.NewContentKey(c.Host, c.Target, c.Workspace, c.Body)
	c.Arrived = time.Now()
	c.Deadline = c.Arrived.Add(3 * time.Second)
	return c
}

func (w *world) serve(c *relay.Call) (*caller, *relay.Summary) {
	to := &caller{}
	s := w.relay.Serve(context.Background(), c, to)
	return to, s
}

// cleanUp calls f at the end of the current spec. In a test that is no spec it does nothing, and
// the test itself must terminate its replicas.
func cleanUp(f func()) {
	if CurrentSpecReport().LeafNodeText != "" {
		DeferCleanup(f)
	}
}
