package relay_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// kill ends the daemon's connections as the operating system does when its process is killed, and leaves its listener, as
// that of a process which is up again.
func (p *carrierPeer) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).CloseWrite()
	}
}

// stop ends the daemon as a graceful shutdown does at the end of its grace.
func (p *carrierPeer) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.server.Close(ctx)
	p.kill()
}

// useOldBuild makes the daemon one of a build that knows nothing of frames: it ignores the header that asks for them.
func (p *carrierPeer) useOldBuild() {
	handler := p.http.Config.Handler
	p.http.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Hingewinch-Framing")
		handler.ServeHTTP(w, r)
	})
}

// Guards against responses without a length and chunks that look complete since the daemon through which they come ended the
// connection, or its own connection to the replica broke, while its listener accepts connections.
var _ = Describe("Response that ends with a connection through another daemon", func() {
	keeps := func(*carrierPeer, *receivedRequest) {}
	for _, streams := range []bool{false, true} {
		name, part, broken := "plain", "fi", refused
		if streams {
			name, part, broken = "stream", event(1), brokenOff
		}
		DescribeTable(name, func(old bool, ends func(*carrierPeer, *receivedRequest), want outcome, basis routing.EndBasis) {
			var carrier *carrierPeer
			script := func(a *receivedRequest) bool {
				if streams {
					unframedHead(a, eventStream)
				} else {
					unframedHead(a, "")
				}
				write(a, part)
				time.Sleep(50 * time.Millisecond) // the part arrives
				ends(carrier, a)
				return false
			}
			a, b := startReplica("a", script), startReplica("b", script)
			carrier = startCarrier(a, b)
			if old {
				carrier.useOldBuild()
			}
			w := newCutFixture(routeOf(streams), refusingLink, []*carrierPeer{carrier}, a, b)
			to, s := w.serve(w.call("1", "POST", "x"))
			Expect(outcomeOf(to)).To(Equal(want))
			Expect(s.Attempts[len(s.Attempts)-1].End).To(Equal(basis))
			if want != refused {
				Expect(string(to.body)).To(Equal(part))
			}
		},
			Entry("whole", false, keeps, whole, routing.EndByPeerReport),
			Entry("whole, last build", true, keeps, whole, routing.EndByPeer),
			Entry("killed and up again", false, func(p *carrierPeer, _ *receivedRequest) {
				p.kill()
				time.Sleep(50 * time.Millisecond)
			}, broken, routing.EndUnknown),
			Entry("stops at the end of its grace", false, func(p *carrierPeer, _ *receivedRequest) {
				p.stop()
				time.Sleep(50 * time.Millisecond)
			}, broken, routing.EndUnknown),
			Entry("stops at the end of its grace, this daemon is of the last build", true, func(p *carrierPeer, _ *receivedRequest) {
				p.stop()
				time.Sleep(50 * time.Millisecond)
			}, broken, routing.EndUnknown),
			Entry("its own connection is reset", false, func(_ *carrierPeer, a *receivedRequest) { reset(a.conn) }, broken, routing.EndUnknown),
			Entry("its own connection is reset, last build", true, func(_ *carrierPeer, a *receivedRequest) { reset(a.conn) }, broken, routing.EndUnknown),
			Entry("killed, last build", true, func(p *carrierPeer, _ *receivedRequest) {
				p.die()
				time.Sleep(100 * time.Millisecond)
			}, broken, routing.EndUnknown),
		)
	}

	// A response with a length that ends together with the connection leaves an idle one that is closed already.
	It("is not reused after the end frame, and is reused otherwise", func() {
		var closes atomic.Bool
		script := func(a *receivedRequest) bool {
			keepsOpen := !closes.Load() // before the response, after which the next request is sent
			respondOK(a)
			return keepsOpen
		}
		a := startReplica("a", script)
		b := startReplica("b", script)
		carrier := startCarrier(a, b)
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{carrier}, a, b)
		for i := range 6 {
			closes.Store(i < 3)
			to, _ := w.serve(w.call(string(rune('1'+i)), "POST", "x"))
			Expect(to.status).To(Equal(200))
			time.Sleep(20 * time.Millisecond) // the end arrives
		}
		Expect(a.connections()+b.connections()).To(BeNumerically("<=", 5), "the last connections were used again")
	})
})
