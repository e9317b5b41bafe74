package relay

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
)

// Guards against a reset that is taken for an ordinary end because another call on the socket got its error, and against
// looks at a connection that take that error from its reader, or that wait for it.
var _ = Describe("The state of a connection", func() {
	var (
		c       *conn
		replica *net.TCPConn
	)
	BeforeEach(func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		raw, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		replica = accepted.(*net.TCPConn)
		c = newConn(raw, transport.NewResponseReader(raw, 1<<10), &routing.Replica{ID: "r", Service: "s"}, "")
		DeferCleanup(func() { _, _ = c.Close(), replica.Close() })
	})

	It("is open while a read waits", func() {
		go func() { _, _ = c.Read(make([]byte, 1)) }()
		time.Sleep(10 * time.Millisecond)
		Expect(c.state()).To(Equal(connOpen))
	})

	It("is unknown while bytes are unread, since the end may be queued behind them", func() {
		_, err := replica.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(c.state).Should(Equal(connUnknown))
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.state()).To(Equal(connOpen))
	})

	It("is ended after an ordinary end", func() {
		Expect(replica.Close()).To(Succeed())
		Eventually(c.state).Should(Equal(connEnded))
	})

	It("is reset although the error was taken, and does not take it", func() {
		Expect(replica.SetLinger(0)).To(Succeed())
		Expect(replica.Close()).To(Succeed())
		Eventually(c.state).Should(Equal(connReset))
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("reset")))
		Expect(c.state()).To(Equal(connReset))
	})

	It("is unknown once this daemon has closed it", func() {
		Expect(c.Close()).To(Succeed())
		Expect(c.state()).To(Equal(connUnknown))
	})
})
