package relay_test

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// breakableLink forwards connections to a replica until it breaks.
type breakableLink struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	broken bool
	conns  []net.Conn
}

func startLink(r *replica) *breakableLink {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	cleanUp(func() { _ = l.Close() })
	link := &breakableLink{listener: l, target: r.listener.Addr().String()}
	go link.accept()
	return link
}

func (l *breakableLink) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.forward(c)
	}
}

// forward copies bytes in both directions, or resets the connection if the link is broken.
func (l *breakableLink) forward(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, err := net.Dial("tcp4", l.target)
	if l.broken || err != nil {
		reset(c)
		return
	}
	l.conns = append(l.conns, c)
	go func() { _, _ = io.Copy(to, c); _ = to.Close() }()
	go func() { _, _ = io.Copy(c, to); _ = c.Close() }()
}

// breakDown resets all connections. New ones are refused, or accepted and reset.
func (l *breakableLink) breakDown(refuses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = true
	if refuses {
		_ = l.listener.Close()
	}
	for _, c := range l.conns {
		reset(c)
	}
}

// interceptingCodec calls a function when the next request is about to be written, by which time its connection is open.
type interceptingCodec struct {
	relay.Codec
	beforeWrite func()
}

// AppendRequest implements [relay.Codec].
func (c *interceptingCodec) AppendRequest(p []byte, call *relay.Call, h relay.RequestHead) []byte {
	if f := c.beforeWrite; f != nil {
		c.beforeWrite = nil
		f()
	}
	return c.Codec.AppendRequest(p, call, h)
}

// A call whose request could not be written at all used up an attempt and a retry, so that the next failure was its last.
var _ = It("An attempt of which no byte was written counts towards neither the route's attempts nor the retry budget", func() {
	w := newFixture(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2})
	w.relay.Budgets = routing.NewRetryBudgets(routing.RetryRule{Extra: 2, Window: 10 * time.Second}, 1) // one retry
	r1, r3 := startReplica("r1", respondOK), startReplica("r3", respondOK)
	r2 := startReplica("r2", func(a *receivedRequest) bool {
		w.setReplicas(r3)
		return reset(a.conn)
	})
	w.setReplicas(r1)
	w.relay.Codec = &interceptingCodec{w.relay.Codec, func() {
		w.setReplicas(r2)
		Eventually(r1.connections, time.Second).Should(Equal(1))
		r1.crash()
		time.Sleep(20 * time.Millisecond) // until the reset has arrived
	}}
	to, s := w.serve(w.call("a", "GET", ""))
	Expect(s.Attempts).To(HaveLen(3))
	Expect(to.status).To(Equal(200))
	Expect([]int{r1.count(), r2.count(), r3.count()}).To(Equal([]int{0, 1, 1}))
	Expect(w.relay.Budgets.SpendRetry("s", time.Now())).To(BeFalse(), "one retry was spent")
})

// A replica that broke off a response in its middle and another one that reset a connection made the links suspect, so that
// all idle connections of the service were opened anew.
var _ = It("A response that breaks in its middle and a connection that is reset do not make the links suspect", func() {
	w := newFixture(resumable)
	r2 := startReplica("r2", func(a *receivedRequest) bool { return reset(a.conn) })
	var r1 *replica
	r1 = startReplica("r1", func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(1))
		time.Sleep(50 * time.Millisecond)
		w.setReplicas(r1, r2)
		return reset(a.conn)
	})
	w.setReplicas(r1)
	to, s := w.serve(w.call("a", "POST", "x"))
	Expect(to.broken).To(BeTrue())
	Expect(s.Attempts).To(HaveLen(2))
	Expect(w.relay.Pool.Reach().State("s")).To(Equal(routing.LinksUp))
})

// A daemon whose links to all replicas were reset spent all attempts of a stream on its own links, and broke the stream off,
// although other daemons reached the replicas.
var _ = DescribeTable("A stream whose daemon loses its links goes on through another daemon", func(refuses, hasIdle bool) {
	begun := make(chan struct{})
	first := startReplica("r1", func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(1))
		close(begun)
		_, err := a.reader.ReadByte()
		return err == nil
	})
	next := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(2)+event(3))
		return streamEnd(a)
	}
	replicas := []*replica{first, startReplica("r2", next), startReplica("r3", next)}
	w := newCutFixture(resumable, silentLink, []*carrierPeer{startCarrier(replicas...)}, replicas...)
	var links []*breakableLink
	ready := w.view.Pools["s"].Ready
	for i, r := range replicas {
		links = append(links, startLink(r))
		ready[i].Address = links[i].listener.Addr().String()
	}
	all := w.view
	for i := range ready {
		if i == 0 || !hasIdle {
			continue
		}
		only := *all
		only.Pools = map[routing.ServiceName]*routing.Pool{"s": {Ready: ready[i : i+1]}}
		w.setView(&only)
		w.serve(w.call("idle", "POST", "x"))
	}
	alone := *all
	alone.Pools = map[routing.ServiceName]*routing.Pool{"s": {Ready: ready[:1]}}
	w.setView(&alone)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.relay.WatchLinks(ctx)
	go func() {
		<-begun
		time.Sleep(50 * time.Millisecond) // the caller gets the first event
		w.setView(all)
		for _, l := range links {
			l.breakDown(refuses)
		}
	}()
	started := time.Now()
	to, s := w.serve(w.call("a", "POST", "x"))
	Expect(string(to.body)).To(Equal(event(1) + event(2) + event(3)))
	Expect(to.broken).To(BeFalse())
	Expect(s.Attempts[len(s.Attempts)-1].Via).NotTo(BeEmpty())
	Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
},
	Entry("if new connections are refused", true, false),
	Entry("if new connections are refused, and idle ones were open", true, true),
	Entry("if new connections are accepted and reset", false, false),
)
