package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/platform"
	"hingewinch.org/hingewinch/transport/relay"
)

// receivedRequest is a request that a replica received.
type receivedRequest struct {
	request *http.Request
	body    []byte
	conn    net.Conn
	reader  *bufio.Reader
	index   int // index among all requests that the replica received, from 0
}

// awaitClose is a script that waits until the relay closes the connection.
func awaitClose(a *receivedRequest) bool {
	_, err := a.reader.ReadByte()
	return err == nil
}

// id returns the id of the attempt.
func (a *receivedRequest) id() string { return a.request.Header.Get("Attempt-Id") }

// replica is a fake replica whose responses are scripted by a test.
type replica struct {
	routing.Replica
	listener net.Listener
	// script responds to one request. If it returns false, the connection is closed.
	script func(a *receivedRequest) bool
	// skipBody leaves the request's body unread when the script is called.
	skipBody bool

	mu        sync.Mutex
	requests  []*receivedRequest
	conns     int
	openConns []net.Conn
	closed    chan struct{} // receives a value when the relay closed a connection
}

// scriptMu guards the state that scripts share, and replica.script.
var scriptMu sync.Mutex

// countCall counts a call in n and returns its number, from 1.
func countCall(n *int) int {
	scriptMu.Lock()
	defer scriptMu.Unlock()
	*n++
	return *n
}

func startReplica(id string, script func(a *receivedRequest) bool) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return startReplicaAt(l, id, script)
}

func startReplicaAt(l net.Listener, id string, script func(a *receivedRequest) bool) *replica {
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
		r.openConns = append(r.openConns, c)
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
		a := &receivedRequest{request: req, conn: c, reader: reader}
		if !r.skipBody {
			a.body, _ = io.ReadAll(req.Body)
		}
		if req.Header.Get("Expect-Replica") != string(r.ID) {
			// Real replicas do the same. A parallel test process may still send requests for a
			// replica of its own that used this port before.
			respond(a, http.StatusMisdirectedRequest, "", "")
			return
		}
		r.mu.Lock()
		a.index = len(r.requests)
		r.requests = append(r.requests, a)
		r.mu.Unlock()
		scriptMu.Lock()
		script := r.script
		scriptMu.Unlock()
		if !script(a) {
			return
		}
	}
}

// crash simulates a crash: connections are reset, and new ones are refused. It returns false, for
// use as the result of a script.
func (r *replica) crash() bool {
	// Under the lock: if several requests call this at once, none may reset connections while
	// another call is still closing the listener, which would accept the daemon's check.
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for _, c := range r.openConns {
		reset(c)
	}
	return false
}

// kill simulates a replica whose process is killed after it has read everything that it was sent: its operating system
// ends its connections in an ordinary way, the latest first, and then refuses new ones. It returns false, for use as the
// result of a script.
func (r *replica) kill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range slices.Backward(r.openConns) {
		_ = c.Close()
	}
	_ = r.listener.Close()
	return false
}

func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

func (r *replica) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func (r *replica) received(i int) *receivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[i]
}

const sealed = "Replica-Seal: good\r\n"

// respond writes a complete response with a content length.
func respond(a *receivedRequest, status int, headers, body string) bool {
	return write(a, fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, a.id(), headers, len(body), body))
}

func write(a *receivedRequest, text string) bool {
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
func streamHead(a *receivedRequest) {
	write(a, "HTTP/1.1 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n")
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

func chunk(a *receivedRequest, text string) { write(a, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func streamEnd(a *receivedRequest) bool { return write(a, "0\r\n\r\n") }

// recordingSink is a Sink that records what it is given.
type recordingSink struct {
	status   int
	header   http.Header
	body     []byte
	refusal  coordination.Outcome
	broken   bool
	complete bool
	wrote    chan struct{}
}

func (c *recordingSink) Respond(status int, h http.Header, body []byte) error {
	c.status, c.header, c.body, c.complete = status, h, body, true
	return nil
}

func (c *recordingSink) Begin(status int, h http.Header) error {
	c.status, c.header = status, h.Clone()
	return nil
}

func (c *recordingSink) Write(p []byte) error {
	c.body = append(c.body, p...)
	if c.wrote != nil {
		select {
		case c.wrote <- struct{}{}:
		default:
		}
	}
	return nil
}

func (c *recordingSink) Reject(o coordination.Outcome) { c.refusal = o }
func (c *recordingSink) Abort()                        { c.broken = true }

// recordingObserver is an Observer that records some of the notifications.
type recordingObserver struct {
	mu            sync.Mutex
	ejected       []routing.ReplicaID
	overloaded    []routing.ReplicaID
	crashedDuring []routing.RequestID
	quarantined   []routing.ContentKey
	panicked      []routing.RequestID
}

func (n *recordingObserver) Finished(*relay.Call, *relay.Summary) {}

func (n *recordingObserver) SelfReported(*routing.Replica, *relay.Call, relay.SelfReport) {}

func (n *recordingObserver) BackoffRequested(*routing.Replica, *relay.Call, time.Duration) {}
func (n *recordingObserver) DepartureAnnounced(*routing.Replica, *relay.Call)              {}
func (n *recordingObserver) LinksLost(routing.ServiceName, time.Duration)                  {}
func (n *recordingObserver) LinksRegained(routing.ServiceName, time.Duration)              {}
func (n *recordingObserver) Replaced(*routing.Replica, *relay.Call)                        {}

func (n *recordingObserver) Panicked(id routing.RequestID, _ any, _ []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.panicked = append(n.panicked, id)
}

func (n *recordingObserver) Ejected(r *routing.Replica, _ *relay.Call, _ error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ejected = append(n.ejected, r.ID)
}

func (n *recordingObserver) Overloaded(r *routing.Replica, _ *relay.Call, _ relay.ReportedLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.overloaded = append(n.overloaded, r.ID)
}

func (n *recordingObserver) CrashedDuring(_ *routing.Replica, c *relay.Call, _ time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashedDuring = append(n.crashedDuring, c.ID)
}

func (n *recordingObserver) Quarantined(c routing.ContentKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quarantined = append(n.quarantined, c)
}

// fixture is a relay in front of some replicas.
type fixture struct {
	relay    *relay.Relay
	mu       sync.Mutex // guards view while the relay runs
	view     *routing.View
	route    *routing.Route
	observer *recordingObserver
}

func newFixture(route routing.Route, replicas ...*replica) *fixture {
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Shares = []routing.Share{{Service: "s", Weight: 1}}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	if route.FirstByteTarget == 0 {
		route.FirstByteTarget = 200 * time.Millisecond
	}
	t, err := routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s"}}})
	Expect(err).NotTo(HaveOccurred())
	w := &fixture{observer: &recordingObserver{}}
	w.route, _ = t.Match("h", "/")
	pool := &routing.Pool{}
	for _, r := range replicas {
		pool.Ready = append(pool.Ready, r.Replica)
	}
	w.view = &routing.View{Table: t, Domain: "z", Pools: map[routing.ServiceName]*routing.Pool{"s": pool}}
	w.relay = relay.New(relay.Options{
		View: w.currentView,
		Placer: &routing.Placer{
			Loads: routing.NewLoads(), Health: routing.NewHealth(), Backoffs: routing.NewBackoffs(), Departures: routing.NewDepartures(),
		},
		Budgets:         routing.NewRetryBudgets(routing.RetryRule{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}, 1),
		RequestTransfer: func(context.Context, routing.ServiceName, routing.Retries) routing.Retries { return 0 },
		Codec:           platform.Codec{}, Observer: w.observer, Pool: relay.NewPool(nil), Crashes: routing.NewCrashes(),
	})
	return w
}

// currentView returns the view. It may be replaced while the relay runs.
func (w *fixture) currentView() *routing.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *fixture) setView(v *routing.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = v
}

func (w *fixture) call(id, method, body string) *relay.Call {
	c := &relay.Call{Method: method, Target: "/x?y=1", Host: "h", Body: []byte(body), Header: http.Header{"Attempt-Id": {id}}}
	c.ID, c.Route, c.Service = routing.RequestID(id), w.route, "s"
	c.Content = routing.NewContentKey(c.Host, c.Target, c.Workspace, c.Body)
	c.Arrived = time.Now()
	c.Deadline = c.Arrived.Add(3 * time.Second)
	return c
}

func (w *fixture) serve(c *relay.Call) (*recordingSink, *relay.Summary) {
	to := &recordingSink{}
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
