package relay_test

import (
	"context"
	"net"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/coordination/routing"
)

const (
	// smallReceiveBuffer is the smallest receive buffer of Linux, in bytes. With it a write waits on loopback as it does on
	// a link with a small window.
	smallReceiveBuffer = 2304
	smallSendBuffer    = 8192
	// resetTries is how often each response is broken off: without a check the reader takes some 5 of 10 resets for ends.
	resetTries = 12
)

// setSocketOption returns a control function that sets an option of a new socket.
func setSocketOption(option, value int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			defer GinkgoRecover()
			Expect(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, value)).To(Succeed())
		})
	}
}

// startNarrowReplica starts a replica that leaves the bodies of requests unread, behind a link with a small window.
func startNarrowReplica(id string, script func(a *receivedRequest) bool) *replica {
	config := net.ListenConfig{Control: setSocketOption(unix.SO_RCVBUF, smallReceiveBuffer/2)} // the kernel doubles the size
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	scriptMu.Lock()
	defer scriptMu.Unlock()
	r := startReplicaAt(l, id, script)
	r.skipBody = true
	return r
}

// respondInPart writes an unframedPart, and lets it arrive.
func respondInPart(a *receivedRequest, streams bool) {
	unframedPart(a, streams)
	time.Sleep(20 * time.Millisecond) // the part arrives, and the write of the body fills the buffers
}

// Guards against responses that ended for the caller as complete although a reset broke them off while the daemon
// wrote the request's body.
var _ = Describe("Response to a large request that ends with its connection", func() {
	sizes := []TableEntry{}
	for _, size := range []int{24 << 10, 140 << 10} {
		for _, streams := range []bool{false, true} {
			sizes = append(sizes, Entry(nil, size, streams))
		}
	}

	DescribeTable("reset over this daemon's own link", func(size int, streams bool) {
		r := startNarrowReplica("r", func(a *receivedRequest) bool {
			respondInPart(a, streams)
			return reset(a.conn)
		})
		for range resetTries {
			w := newFixture(routeOf(streams), r)
			w.relay.Pool.SetDialControl(setSocketOption(unix.SO_SNDBUF, smallSendBuffer))
			to, _ := w.serve(w.call("1", "POST", strings.Repeat("x", size)))
			Expect(outcomeOf(to)).To(Equal(map[bool]outcome{true: brokenOff, false: refused}[streams]))
		}
	}, sizes)

	DescribeTable("reset through another daemon", func(size int, streams bool) {
		script := func(a *receivedRequest) bool {
			respondInPart(a, streams)
			return reset(a.conn)
		}
		a, b := startNarrowReplica("a", script), startNarrowReplica("b", script)
		for range resetTries {
			carrier := startCarrier(a, b)
			carrier.dialer.Control = setSocketOption(unix.SO_SNDBUF, smallSendBuffer)
			w := newCutFixture(routeOf(streams), refusingLink, []*carrierPeer{carrier}, a, b)
			to, _ := w.serve(w.call("1", "POST", strings.Repeat("x", size)))
			Expect(outcomeOf(to)).To(Equal(map[bool]outcome{true: brokenOff, false: refused}[streams]))
		}
	}, sizes)

	// Guards against a reset that looks like an end to the watch of a silent replica.
	It("is broken off if it is reset while another replica is asked", func() {
		for range 5 {
			first := startNarrowReplica("r1", func(a *receivedRequest) bool {
				unframedHead(a, eventStream)
				write(a, event(1))
				time.Sleep(580 * time.Millisecond) // .08 s after the event timeout
				return reset(a.conn)
			})
			w := newFixture(resumable, first)
			w.relay.Pool.SetDialControl(setSocketOption(unix.SO_SNDBUF, smallSendBuffer))
			w.onceBegun(startReplica("r2", func(a *receivedRequest) bool {
				time.Sleep(150 * time.Millisecond)
				return respond(a, 503, "Not-Executed: 1\r\n", "")
			}))
			to, _ := w.serve(w.call("a", "POST", strings.Repeat("x", 24<<10)))
			Expect(string(to.body)).To(Equal(event(1)))
			Expect(to.broken).To(BeTrue())
		}
	})

	// Guards against a crash that is not counted because it looks like the end of a response.
	DescribeTable("crash of the replica", func(size int, streams bool) {
		for range resetTries {
			var r *replica
			r = startNarrowReplica("r", func(a *receivedRequest) bool {
				respondInPart(a, streams)
				return r.crash()
			})
			w := newFixture(routeOf(streams), r)
			w.relay.Pool.SetDialControl(setSocketOption(unix.SO_SNDBUF, smallSendBuffer))
			w.serve(w.call("1", "POST", strings.Repeat("x", size)))
			Expect(w.observer.crashedDuring).To(ConsistOf(routing.RequestID("1")))
		}
	}, sizes)

	DescribeTable("whole through another daemon, of a replica that reads no more of the request", func(size int, streams bool) {
		script := func(a *receivedRequest) bool {
			respondInPart(a, streams)
			_ = a.conn.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
			return false
		}
		a, b := startNarrowReplica("a", script), startNarrowReplica("b", script)
		carrier := startCarrier(a, b)
		carrier.dialer.Control = setSocketOption(unix.SO_SNDBUF, smallSendBuffer)
		w := newCutFixture(routeOf(streams), refusingLink, []*carrierPeer{carrier}, a, b)
		to, _ := w.serve(w.call("1", "POST", strings.Repeat("x", size)))
		Expect(outcomeOf(to)).To(Equal(whole))
	}, sizes)

	DescribeTable("whole, of a replica that reads no more of the request", func(size int, streams bool) {
		r := startNarrowReplica("r", func(a *receivedRequest) bool {
			respondInPart(a, streams)
			_ = a.conn.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
			return false
		})
		w := newFixture(routeOf(streams), r)
		w.relay.Pool.SetDialControl(setSocketOption(unix.SO_SNDBUF, smallSendBuffer))
		begun := time.Now()
		to, _ := w.serve(w.call("1", "POST", strings.Repeat("x", size)))
		Expect(outcomeOf(to)).To(Equal(whole))
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
	}, sizes)
})
