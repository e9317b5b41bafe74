package gateway_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/transport/gateway"
)

// Guards against a response that is taken for whole although its upstream stopped inside its head or inside what its framing
// announces. Each byte is tried. An unframed response may be whole after any byte of its body, none included.
var _ = Describe("a response that is cut", func() {
	DescribeTable("by a close or a reset", func(text string, resets bool) {
		head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
		for strings.HasPrefix(text[:head], "HTTP/1.1 103") && !strings.Contains(text[:head], " 200 ") {
			head += strings.Index(text[head:], "\r\n\r\n") + len("\r\n\r\n")
		}
		isFramed := strings.Contains(text[:head], "Content-Length") || strings.Contains(text[:head], "Transfer-Encoding")
		var cut atomic.Int64
		s := newRawServer(func(s *rawServer, c net.Conn) {
			s.take(c, 100)
			_, _ = io.WriteString(c, text[:cut.Load()])
			if resets {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		up := gateway.NewUpstreams(gateway.UpstreamOptions{})
		DeferCleanup(up.Close)
		for at := range len(text) {
			cut.Store(int64(at))
			resp, _, err := up.Send(context.Background(), post(s.Addr().String()))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			mayBeWhole := !isFramed && !resets && at >= head
			Expect(err == nil).To(Equal(mayBeWhole), "cut at %d: %v", at, err)
		}
	},
		Entry("length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b\r\n\r\ngood", false),
		Entry("length, the last header", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\ngood", false),
		Entry("length, reset", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\ngood", true),
		Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", false),
		Entry("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\ngood\r\n0\r\nA: b\r\n\r\n", false),
		Entry("unframed", "HTTP/1.1 200 OK\r\nA: b\r\n\r\ngood", false),
		Entry("after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", false),
	)
})
