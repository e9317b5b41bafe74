package tunnel_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/tunnel"
)

// BenchmarkCarried measures the time until what a replica sends has passed through a peer, and the bytes that the peer sends.
func BenchmarkCarried(b *testing.B) {
	asIs := func(h http.Handler) http.Handler { return h }
	for _, c := range []struct {
		name string
		size int
		peer func(http.Handler) http.Handler
	}{
		{"event of 120 bytes", 120, asIs}, {"event of 120 bytes, last build", 120, withoutFraming},
		{"body of 256 KB", 256 << 10, asIs}, {"body of 256 KB, last build", 256 << 10, withoutFraming},
	} {
		b.Run(c.name, func(b *testing.B) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer listener.Close()
			server := &tunnel.Server{Open: func(context.Context, routing.Incarnation) (net.Conn, error) {
				return net.Dial("tcp4", listener.Addr().String())
			}}
			conn, reader, err := tunnel.Dial(context.Background(), &net.Dialer{}, startPeer(b, c.peer(server)), replicaID)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Time{})
			replica, err := listener.Accept()
			if err != nil {
				b.Fatal(err)
			}
			piece, into := []byte(strings.Repeat("x", c.size)), make([]byte, c.size)
			before := received(b, conn)
			b.ReportAllocs()
			for b.Loop() {
				go func() { _, _ = replica.Write(piece) }()
				if _, err := io.ReadFull(reader, into); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(received(b, conn)-before)/float64(b.N), "wire-bytes/op")
		})
	}
}

// received returns the number of bytes that a connection has received.
func received(b *testing.B, c net.Conn) (n uint64) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			b.Fatal(err)
		}
		n = info.Bytes_received
	})
	return n
}
