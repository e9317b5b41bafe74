package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/transport/gateway"
)

const (
	// smallReceiveBuffer is the smallest receive buffer of Linux, in bytes. With it a write waits on loopback as it does on
	// a link with a small window.
	smallReceiveBuffer = 2304
	smallSendBuffer    = 8192
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

// sendLarge sends a request to an upstream that leaves the body unread, responds in part, and ends by end. It returns the
// error of reading the response.
func sendLarge(size int, end func(c *net.TCPConn)) error {
	config := net.ListenConfig{Control: setSocketOption(unix.SO_RCVBUF, smallReceiveBuffer/2)} // the kernel doubles the size
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // the part arrives, and the write of the body fills the buffers
		end(c.(*net.TCPConn))
	}()
	dialer := net.Dialer{Control: setSocketOption(unix.SO_SNDBUF, smallSendBuffer)}
	up := gateway.NewUpstreams(gateway.UpstreamOptions{Dial: dialer.DialContext})
	defer up.Close()
	request := post(l.Addr().String())
	request.Body = make([]byte, size)
	resp, _, err := up.Send(context.Background(), request)
	if err != nil {
		return err
	}
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against a response that looks complete because the write of the request took the upstream's reset.
var _ = Describe("a response without a length to a large request", func() {
	for _, size := range []int{24 << 10, 140 << 10} {
		It("is not complete if the upstream resets the connection", func() {
			for range 12 {
				Expect(sendLarge(size, func(c *net.TCPConn) { _ = c.SetLinger(0) })).NotTo(Succeed())
			}
		})

		It("is complete if the upstream ends it and reads no more of the request", func() {
			for range 12 {
				Expect(sendLarge(size, func(c *net.TCPConn) {
					_ = c.CloseWrite()
					time.Sleep(50 * time.Millisecond)
				})).To(Succeed())
			}
		})
	}
})
