package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// BenchmarkExchange measures a call from its start to its end, with a replica on loopback that responds at once.
func BenchmarkExchange(b *testing.B) {
	body := strings.Repeat("x", 1000)
	plain := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	large := strings.Repeat("x", 256<<10)
	var events strings.Builder
	events.WriteString("Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n")
	for i := range 32 {
		e := event(i)
		events.WriteString(strconv.FormatInt(int64(len(e)), 16) + "\r\n" + e + "\r\n")
	}
	events.WriteString("0\r\n\r\n")
	for _, c := range []struct {
		name     string
		route    routing.Route
		response string
	}{
		{"plain", atMostOnce, plain},
		{"plain of 256 KB", atMostOnce, "Content-Length: " + strconv.Itoa(len(large)) + "\r\n\r\n" + large},
		{"stream of 32 events", resumable, events.String()},
		{"plain, ends with its connection", atMostOnce, "\r\n" + body},
	} {
		b.Run(c.name, func(b *testing.B) {
			gomega.RegisterTestingT(b)
			r := benchReplica(b, c.response)
			w := newFixture(c.route, r)
			call := w.call("1", "POST", "x")
			b.ReportAllocs()
			for b.Loop() {
				next := *call
				next.Deadline = w.call("1", "POST", "x").Deadline
				if to, _ := w.serve(&next); to.refusal != nil || to.broken {
					b.Fatalf("refused: %v", to.refusal)
				}
			}
			b.ReportMetric(float64(r.connections())/float64(b.N), "conns/op")
		})
	}
}

// benchReplica starts a replica that answers each request with the same response. It ends the connection after one without
// a length and chunks.
func benchReplica(b *testing.B, response string) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	isUnframed := strings.HasPrefix(response, "\r\n")
	r := &replica{listener: l, closed: make(chan struct{}, 64)}
	text := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n" + sealed + response)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns++
			r.mu.Unlock()
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if _, err := c.Write(text); err != nil || isUnframed {
						return
					}
				}
			}()
		}
	}()
	r.Replica = routing.NewReplica(routing.Replica{ID: "bench", Service: "s", Domain: "z", Slots: 8, Address: l.Addr().String()})
	return r
}
