package gateway_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/transport/gateway"
)

// rawServer accepts connections and handles each with a function. It counts the bytes
// that it reads.
type rawServer struct {
	net.Listener
	read     atomic.Int64
	requests atomic.Int64
}

func newRawServer(serve func(s *rawServer, c net.Conn)) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &rawServer{Listener: l}
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(s, c)
			}()
		}
	}()
	return s
}

// take reads until at least n bytes have arrived or the connection is closed.
func (s *rawServer) take(c net.Conn, n int) {
	buf := make([]byte, 4096)
	for got := 0; got < n; {
		k, err := c.Read(buf)
		s.read.Add(int64(k))
		got += k
		if err != nil {
			return
		}
	}
	s.requests.Add(1)
}

// resetUnread waits until bytes have arrived, and resets the connection without reading
// them. An earlier reset could reach the client before it writes, which would correctly
// be reported as not-run.
func resetUnread(_ *rawServer, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0 || (err != nil && err != syscall.EAGAIN)
	})
	_ = c.(*net.TCPConn).SetLinger(0)
}

func post(address string) gateway.UpstreamRequest {
	return gateway.UpstreamRequest{Method: http.MethodPost, Address: address, Target: "/passes", Header: http.Header{}, Body: []byte("0123456789")}
}

var _ = Describe("the outcome of an attempt", func() {
	var up *gateway.Upstreams
	send := func(ctx context.Context, address string) coordination.Outcome {
		resp, outcome, _ := up.Send(ctx, post(address))
		if resp == nil {
			return outcome
		}
		_, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return coordination.MayHaveRun{}
		}
		return coordination.Answered{Status: resp.StatusCode}
	}
	BeforeEach(func() {
		up = gateway.NewUpstreams(gateway.UpstreamOptions{})
		DeferCleanup(up.Close)
	})

	DescribeTable("at each point of failure", func(serve func(*rawServer, net.Conn), want coordination.Outcome) {
		s := newRawServer(serve)
		got := send(context.Background(), s.Addr().String())
		Expect(coordination.OutcomeName(got)).To(Equal(coordination.OutcomeName(want)))
		if coordination.MayRetry(got) {
			Expect(s.requests.Load()).To(BeZero())
		}
	},
		Entry("closed before anything is read", resetUnread, coordination.MayHaveRun{}),
		Entry("closed after the first bytes", func(s *rawServer, c net.Conn) { s.take(c, 1) }, coordination.MayHaveRun{}),
		Entry("closed after the complete request", func(s *rawServer, c net.Conn) { s.take(c, 100) }, coordination.MayHaveRun{}),
		Entry("half a response header", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		}, coordination.MayHaveRun{}),
		Entry("a truncated body", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		}, coordination.MayHaveRun{}),
		Entry("a chunked body without its last chunk", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		}, coordination.MayHaveRun{}),
		Entry("a status that is none", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ngood")
		}, coordination.MayHaveRun{}),
		Entry("a switch of protocols that was not asked for", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\ngood")
		}, coordination.MayHaveRun{}),
		Entry("a complete response", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
		}, coordination.Answered{}),
		Entry("a refusal that says not-run", func(s *rawServer, c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nX-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		}, coordination.NotRun{}),
		Entry("a refusal that does not say so", func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		}, coordination.Answered{}),
	)

	It("is not-run when the connection is refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		_ = l.Close()
		Expect(send(context.Background(), address)).To(BeAssignableToTypeOf(coordination.NotRun{}))
	})
	It("is not-run when the TLS handshake fails, although bytes were written", func() {
		s := newRawServer(func(s *rawServer, c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, "this is not TLS")
		})
		up = gateway.NewUpstreams(gateway.UpstreamOptions{TLS: &tls.Config{InsecureSkipVerify: true}})
		Expect(send(context.Background(), s.Addr().String())).To(BeAssignableToTypeOf(coordination.NotRun{}))
	})
	It("is not-run when the permit fails at the first byte", func() {
		s := newRawServer(func(s *rawServer, c net.Conn) { s.take(c, 100) })
		r := post(s.Addr().String())
		r.Permit = func() error { return errors.New("too late") }
		_, outcome, _ := up.Send(context.Background(), r)
		Expect(outcome).To(Equal(coordination.NotRun{Reason: coordination.ReasonOwnerListStale, RetryAfter: time.Second}))
		Expect(s.read.Load()).To(BeZero())
	})

	// The HTTP client writes in a goroutine of its own. Whenever an attempt is
	// cancelled, if it is reported as not-run it must not have written anything, nor
	// write later.
	It("is never not-run after a byte has been written, whenever it is cancelled", func() {
		notRun, mayHave := 0, 0
		for i := range 1000 {
			var written atomic.Int64
			ctx, cancel := context.WithCancel(context.Background())
			up = gateway.NewUpstreams(gateway.UpstreamOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, server) }()
				conn := &countedConn{Conn: client, written: &written}
				switch i % 3 {
				case 0: // before the connection is used
					cancel()
				case 1: // while the first bytes are written
					conn.during = cancel
				default: // at a time in between
					go func() {
						for range i {
							runtime.Gosched()
						}
						cancel()
					}()
				}
				return conn, nil
			}})
			outcome := send(ctx, "engine:1")
			up.Close()
			if !coordination.MayRetry(outcome) {
				mayHave++
				continue
			}
			notRun++
			for range 100 {
				runtime.Gosched()
			}
			Expect(written.Load()).To(BeZero())
		}
		Expect(notRun).To(BeNumerically(">", 0))
		Expect(mayHave).To(BeNumerically(">", 0))
	})

	It("is of one attempt only, although the HTTP client could retry", func() {
		var first sync.Once
		s := newRawServer(func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			first.Do(func() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				s.take(c, 100)
			})
		})
		r := post(s.Addr().String())
		r.Header.Set("Idempotency-Key", "k")
		resp, _, err := up.Send(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		// The connection is reused, and closed as soon as the request has arrived.
		_, outcome, _ := up.Send(context.Background(), r)
		Expect(outcome).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
		Expect(s.requests.Load()).To(Equal(int64(2)))
	})
})

// countedConn counts the bytes written.
type countedConn struct {
	net.Conn
	written *atomic.Int64
	during  func()
}

func (c *countedConn) Write(p []byte) (int, error) {
	if c.during != nil {
		c.during()
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
