package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
	"hingewinch.org/hingewinch/transport/tunnel"
)

// link is the address at which a daemon finds a replica whose own address it does not reach.
type link struct {
	address  string
	listener net.Listener // nil: connections are refused
}

// refusingLink refuses connections.
func refusingLink() *link {
	// The port stays bound, without a listener: another process could get it otherwise.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	cleanUp(func() { _ = unix.Close(fd) })
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	at, err := unix.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	return &link{address: fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)}
}

// silentLink accepts connections and says nothing.
func silentLink() *link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	cleanUp(func() { _ = l.Close() })
	return &link{address: l.Addr().String(), listener: l}
}

// resettingLink accepts connections and resets them.
func resettingLink() *link {
	l := silentLink()
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			reset(c)
		}
	}()
	return l
}

// carrierPeer is another daemon that reaches the replicas.
type carrierPeer struct {
	server  *tunnel.Server
	address string
	asked   atomic.Int32 // connections that other daemons asked for
	opened  atomic.Int32
	http    *httptest.Server
	dialer  net.Dialer // to replicas

	mu    sync.Mutex
	conns []net.Conn // from other daemons
}

// die ends the daemon's connections as the operating system does when its process is killed.
func (p *carrierPeer) die() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	_ = p.http.Listener.Close() // it ends last
}

// record records a connection from another daemon.
func (p *carrierPeer) record(c net.Conn, s http.ConnState) {
	if s != http.StateNew {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

// startCarrier starts a daemon that connects to replicas at their own addresses.
func startCarrier(replicas ...*replica) *carrierPeer {
	p := &carrierPeer{}
	p.server = &tunnel.Server{
		Open: func(ctx context.Context, id routing.Incarnation) (net.Conn, error) {
			p.asked.Add(1)
			for _, r := range replicas {
				if r.Incarnation() == id {
					return p.open(ctx, r.listener.Addr().String())
				}
			}
			return nil, &tunnel.Refused{Reason: tunnel.ReasonUnknownReplica}
		},
		Opened: func(string) { p.opened.Add(1) },
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+tunnel.Path, p.server)
	p.http = httptest.NewUnstartedServer(mux)
	p.http.Config.ConnState = p.record
	p.http.Start()
	cleanUp(p.http.CloseClientConnections)
	p.address = strings.TrimPrefix(p.http.URL, "http://")
	return p
}

// startCutCarrier starts a daemon that has lost its own links too.
func startCutCarrier() *carrierPeer {
	p := startCarrier()
	p.server.Open = func(context.Context, routing.Incarnation) (net.Conn, error) {
		return nil, &tunnel.Refused{Reason: tunnel.ReasonNoLink}
	}
	return p
}

func (p *carrierPeer) open(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &tunnel.Refused{Reason: tunnel.ReasonReplicaRefused}
	}
	return conn, nil
}

// newCutFixture returns a relay that finds replicas behind links, and peers that reach them.
func newCutFixture(route routing.Route, newLink func() *link, peers []*carrierPeer, replicas ...*replica) *fixture {
	w := newFixture(route, replicas...)
	pool := w.view.Pools["s"]
	for i := range pool.Ready {
		pool.Ready[i].Address = newLink().address
	}
	pool.Sort()
	var mu sync.Mutex
	w.relay.Pool.UseDetours(&relay.Detours{
		Carriers: routing.NewCarriers(),
		Find: func(_ context.Context, s routing.Search) (routing.Carrier, bool) {
			mu.Lock()
			defer mu.Unlock()
			for _, p := range peers {
				if !s.Excluded[routing.PeerID(p.address)] {
					return routing.Carrier{Peer: routing.PeerID(p.address)}, true
				}
			}
			return routing.Carrier{}, false
		},
	})
	return w
}

// startLostCarrier starts a daemon that has lost its own links too and has not found out: it says of the given number of
// replicas that they can't be reached, and reaches others.
func startLostCarrier(unreachable int, replicas ...*replica) *carrierPeer {
	p := startCarrier(replicas...)
	open := p.server.Open
	p.server.Open = func(ctx context.Context, id routing.Incarnation) (net.Conn, error) {
		if int(p.asked.Load()) < unreachable {
			p.asked.Add(1)
			return nil, &tunnel.Refused{Reason: tunnel.ReasonReplicaUnreachable}
		}
		return open(ctx, id)
	}
	return p
}

var _ = Describe("Relay whose own links to all replicas are lost", func() {
	// Requests were refused because the one daemon that was asked had lost its links too, and did not know it.
	It("asks another daemon if the first does not reach the replica", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		lost, sound := startLostCarrier(1000, a, b), startCarrier(a, b)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{lost, sound}, a, b)
		for i := range 5 {
			to, s := w.serve(w.call(string(rune('1'+i)), "POST", "x"))
			Expect(to.status).To(Equal(200))
			Expect(s.Attempts[len(s.Attempts)-1].Via).To(BeEquivalentTo(sound.address))
		}
		Expect(lost.asked.Load()).To(BeEquivalentTo(1), "one that another daemon disproved is not asked again")
	})

	// Requests were refused after four replicas, to none of which anything was sent.
	It("goes on to other replicas while those that it chose are not reached", func() {
		var replicas []*replica
		for i := range 8 {
			replicas = append(replicas, startReplica(fmt.Sprint(i), respondOK))
		}
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{startLostCarrier(4, replicas...)}, replicas...)
		to, s := w.serve(w.call("1", "POST", "x"))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(6))
	})

	It("does not try all replicas of a service of which none is reached", func() {
		var replicas []*replica
		for i := range 12 {
			replicas = append(replicas, startReplica(fmt.Sprint(i), respondOK))
		}
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{startLostCarrier(1000, replicas...)}, replicas...)
		to, s := w.serve(w.call("1", "POST", "x"))
		Expect(to.refusal).To(beNotRun())
		Expect(s.Attempts).To(HaveLen(routing.MaxChoices + routing.MaxUnreached))
	})

	It("serves the first request through another daemon, and holds nothing against the replicas", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		p := startCarrier(a, b)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{p}, a, b)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.relay.WatchLinks(ctx)
		to, s := w.serve(w.call("1", "POST", "x"))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts[len(s.Attempts)-1].Via).To(BeEquivalentTo(p.address))
		for i := range 5 {
			to, s = w.serve(w.call(string(rune('2'+i)), "POST", "x"))
			Expect(to.status).To(Equal(200))
			Expect(s.Attempts).To(HaveLen(1))
		}
		Eventually(func(g Gomega) {
			for i := range w.view.Pools["s"].Ready {
				_, why := w.relay.Placer.Health.Explain(&w.view.Pools["s"].Ready[i], time.Now())
				g.Expect(why).To(BeEmpty())
			}
		}, time.Second).Should(Succeed())
		Expect(a.count() + b.count()).To(Equal(6))
	})

	It("goes through another daemon once two replicas are silent on new connections", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		w := newCutFixture(idempotent, silentLink, []*carrierPeer{startCarrier(a, b)}, a, b)
		w.serve(w.call("1", "GET", ""))
		to, s := w.serve(w.call("2", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(1))
	})

	It("asks another daemon if the first has lost its links too, and refuses at once if all have", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		cut := startCutCarrier()
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{cut, startCarrier(a, b)}, a, b)
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(to.status).To(Equal(200))
		w = newCutFixture(atMostOnce, refusingLink, []*carrierPeer{cut}, a, b)
		begun := time.Now()
		to, _ = w.serve(w.call("2", "POST", "x"))
		Expect(to.refusal).To(beNotRun())
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(a.count() + b.count()).To(Equal(1))
	})

	It("asks no other daemon if only one replica is not reached", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		p := startCarrier(a, b)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{p}, a, b)
		w.view.Pools["s"].Ready[1].Address = b.listener.Addr().String()
		for i := range 10 {
			to, _ := w.serve(w.call(string(rune('0'+i)), "POST", "x"))
			Expect(to.status).To(Equal(200))
		}
		Expect(p.opened.Load()).To(BeZero())
	})

	It("does not ask another daemon for replicas that are lost, while one of them responds to probes", func() {
		a, b, alive := startReplica("a", respondOK), startReplica("b", respondOK), startReplica("c", respondOK)
		p := startCarrier(a, b, alive)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{p}, a, b, alive)
		w.view.Pools["s"].Ready[2].Address = alive.listener.Addr().String()
		w.relay.Pool.SetProbeWait(10 * time.Second)
		w.view.Pools["s"].Ready[2].Domain = "other" // the others, of the own domain, are chosen first
		w.view.Pools["s"].Sort()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.relay.WatchLinks(ctx)
		for i := range 20 {
			to, _ := w.serve(w.call(string(rune('a'+i)), "POST", "x"))
			Expect(to.status).To(Equal(200))
		}
		Expect(p.opened.Load()).To(BeZero())
	})

	It("stops the replica when the caller disconnects", func() {
		begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		script := func(a *receivedRequest) bool {
			begun <- struct{}{}
			_, _ = a.reader.Peek(1) // returns when the connection is closed
			ended <- struct{}{}
			return false
		}
		a, b := startReplica("a", script), startReplica("b", script)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{startCarrier(a, b)}, a, b)
		ctx, cancel := context.WithCancel(context.Background())
		go w.relay.Serve(ctx, w.call("1", "POST", "x"), &recordingSink{})
		Eventually(begun, time.Second).Should(Receive())
		cancel()
		Eventually(ended, 500*time.Millisecond).Should(Receive())
	})

	It("never sends again what may have run before the links were lost", func() {
		a, b := startReplica("a", func(a *receivedRequest) bool { return reset(a.conn) }), startReplica("b", respondOK)
		p := startCarrier(a, b)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{p}, a, b)
		w.view.Pools["s"].Ready[0].Address = a.listener.Addr().String()
		w.view.Pools["s"].Ready[1].Draining = true
		one := &routing.Pool{Ready: w.view.Pools["s"].Ready[:1]}
		one.Sort()
		w.view.Pools["s"] = one
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(to.refusal).To(beMayHaveRun())
		Expect(a.count()).To(Equal(1))
	})

	It("takes a replica for terminated only if another daemon is refused too", func() {
		for _, alive := range []bool{true, false} {
			var own *replica
			own = startReplica("a", func(a *receivedRequest) bool { return own.crash() })
			elsewhere := startReplica("a", respondOK)
			if !alive {
				Expect(elsewhere.listener.Close()).To(Succeed())
			}
			other, third := startReplica("b", respondOK), startReplica("c", respondOK)
			w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{startCarrier(elsewhere, other, third)}, own, other, third)
			w.view.Pools["s"].Ready[0].Address = own.listener.Addr().String()
			one := &routing.Pool{Ready: w.view.Pools["s"].Ready[:1], Draining: w.view.Pools["s"].Ready[1:]}
			one.Sort()
			w.view.Pools["s"] = one
			w.serve(w.call("1", "POST", "x"))
			if alive {
				Expect(w.observer.crashedDuring).To(BeEmpty())
				continue
			}
			Expect(w.observer.crashedDuring).To(HaveLen(1))
		}
	})

	It("uses its own links again once probes get a response", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{startCarrier(a, b)}, a, b)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.relay.WatchLinks(ctx)
		w.serve(w.call("1", "POST", "x"))
		Eventually(func() routing.LinkState { return w.relay.Pool.Reach().State("s") }, time.Second).Should(Equal(routing.LinksDown))
		restored := *w.view
		pool := &routing.Pool{Ready: []routing.Replica{a.Replica, b.Replica}}
		pool.Sort()
		restored.Pools = map[routing.ServiceName]*routing.Pool{"s": pool}
		w.setView(&restored)
		Eventually(func() routing.LinkState { return w.relay.Pool.Reach().State("s") }, 3*time.Second).Should(Equal(routing.LinksUp))
		_, s := w.serve(w.call("2", "POST", "x"))
		Expect(s.Attempts).To(HaveLen(1))
		Expect(s.Attempts[0].Via).To(BeEmpty())
	})
})

var _ = Describe("Pool that opens connections for another daemon", func() {
	// openTwo watches the links and asks for connections to the first two replicas of a service.
	openTwo := func(ctx context.Context, w *fixture, probeWait time.Duration) []error {
		w.relay.Pool.SetProbeWait(probeWait)
		go w.relay.WatchLinks(ctx)
		var errs []error
		for i := range w.view.Pools["s"].Ready[:2] {
			_, err := w.relay.Pool.OpenForPeer(ctx, &w.view.Pools["s"].Ready[i], w.view)
			errs = append(errs, err)
		}
		return errs
	}
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})
	reason := func(err error) tunnel.Reason {
		var refused *tunnel.Refused
		Expect(errors.As(err, &refused)).To(BeTrue())
		return refused.Reason
	}

	// Guards against a daemon whose links work, and which peers avoid for all replicas of a service
	// because some of them are lost.
	It("says that replicas refuse connections while another responds to probes", func() {
		a, b, sound := startReplica("a", respondOK), startReplica("b", respondOK), startReplica("c", respondOK)
		w := newCutFixture(atMostOnce, refusingLink, nil, a, b, sound)
		w.view.Pools["s"].Ready[2].Address = sound.listener.Addr().String()
		for _, err := range openTwo(ctx, w, 10*time.Second) {
			Expect(reason(err)).To(Equal(tunnel.ReasonReplicaRefused))
		}
	})

	// Guards against probes that wait for the slowest replica, while peers take this daemon for one without
	// links.
	It("needs one replica's response to probes, although another is silent", func() {
		a, b := startReplica("a", respondOK), startReplica("b", respondOK)
		silent, sound := startReplica("c", respondOK), startReplica("d", respondOK)
		w := newCutFixture(atMostOnce, refusingLink, nil, a, b, silent, sound)
		pool := w.view.Pools["s"]
		pool.Ready[2].Address, pool.Ready[2].Domain = silentLink().address, "x"
		pool.Ready[3].Address, pool.Ready[3].Domain = sound.listener.Addr().String(), "y"
		asked := time.Now()
		for _, err := range openTwo(ctx, w, 10*time.Second) {
			Expect(reason(err)).To(Equal(tunnel.ReasonReplicaRefused))
		}
		Expect(time.Since(asked)).To(BeNumerically("<", 700*time.Millisecond), "a probe of the silent replica takes a second")
	})

	// Guards against peers that avoid a daemon for all replicas of a service while its probes of a slow one
	// have not ended.
	It("says that replicas refuse connections until probes show that its links are lost", func() {
		a, b, silent := startReplica("a", respondOK), startReplica("b", respondOK), startReplica("c", respondOK)
		w := newCutFixture(atMostOnce, refusingLink, nil, a, b, silent)
		pool := w.view.Pools["s"]
		pool.Ready[2].Address = silentLink().address
		for _, err := range openTwo(ctx, w, time.Millisecond) {
			Expect(reason(err)).To(Equal(tunnel.ReasonReplicaRefused))
		}
		Eventually(func() routing.LinkState { return w.relay.Pool.Reach().State("s") }, 5*time.Second).Should(Equal(routing.LinksDown))
		_, err := w.relay.Pool.OpenForPeer(ctx, &pool.Ready[0], w.view)
		Expect(reason(err)).To(Equal(tunnel.ReasonNoLink))
	})

	// A daemon without requests of its own answered that the replica can't be reached, so that its peer gave up the replica
	// and asked no other daemon.
	It("says that it has no link at the first request if it reaches no other replica either", func() {
		a, b, c := startReplica("a", respondOK), startReplica("b", respondOK), startReplica("c", respondOK)
		w := newCutFixture(atMostOnce, resettingLink, nil, a, b, c)
		Expect(reason(openTwo(ctx, w, 10*time.Second)[0])).To(Equal(tunnel.ReasonNoLink))
	})

	It("says that a replica can't be reached if it reaches another one", func() {
		a, b, sound := startReplica("a", respondOK), startReplica("b", respondOK), startReplica("c", respondOK)
		w := newCutFixture(atMostOnce, resettingLink, nil, a, b, sound)
		w.view.Pools["s"].Ready[2].Address = sound.listener.Addr().String()
		Expect(reason(openTwo(ctx, w, 10*time.Second)[0])).To(Equal(tunnel.ReasonReplicaUnreachable))
		Expect(w.relay.Pool.Reach().State("s")).To(Equal(routing.LinksUp))
	})

	It("says that it has no link once no replica responds to probes", func() {
		a, b, c := startReplica("a", respondOK), startReplica("b", respondOK), startReplica("c", respondOK)
		w := newCutFixture(atMostOnce, refusingLink, nil, a, b, c)
		Expect(reason(openTwo(ctx, w, 10*time.Second)[1])).To(Equal(tunnel.ReasonNoLink))
	})
})
