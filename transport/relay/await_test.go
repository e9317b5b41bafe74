package relay

import (
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

var _ = Describe("An exchange whose read deadline has passed", func() {
	// newExchange returns an exchange, and the replica's end of its connection.
	newExchange := func() (*exchange, net.Conn) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		replica, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _, _ = c.Close(), replica.Close() })
		r := &routing.Replica{ID: "r1", Service: "s"}
		x := &exchange{pool: NewPool(nil), conn: newConn(c, transport.NewResponseReader(c, 1<<10), r, ""), replica: r, deadline: clock.Now().Add(time.Second)}
		return x, replica
	}

	// Guards against sound replicas that are taken for silent, all at once, because the daemon's process was paused: the runtime
	// reports that a deadline has passed without reading what has arrived.
	It("reads what has arrived", func() {
		x, replica := newExchange()
		_, err := replica.Write([]byte("event"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		p := make([]byte, 1<<10)
		n, err := x.readUntil(p, clock.Now().Add(-time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(p[:n])).To(Equal("event"))
		Expect(x.received).To(BeTrue())
	})

	It("reports silence if nothing has arrived", func() {
		x, _ := newExchange()
		_, err := x.readUntil(make([]byte, 1<<10), clock.Now().Add(-time.Millisecond))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(x.received).To(BeFalse())
	})

	// Guards against a response without end that is read on after the deadline, as long as bytes arrive: the caller's connection
	// was closed before it had a response.
	It("reads once after the exchange's deadline", func() {
		x, replica := newExchange()
		_, err := replica.Write([]byte("events"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		x.deadline = clock.Now().Add(-time.Millisecond)
		p := make([]byte, 3)
		Expect(x.readUntil(p, clock.Now().Add(time.Second))).To(Equal(3))
		_, err = x.readUntil(p, clock.Now().Add(time.Second))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
})
