package relay_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutResponse is a response that a replica writes up to a byte.
type cutResponse struct {
	Method  string
	Streams bool
	Framing string // length, length-last (its header is the last), chunks, trailers, or unframed
	Before  string // what precedes it: nothing, interim or late (the response to an earlier request)
	Resets  bool   // the connection is reset at the cut, and otherwise closed
	Carried bool   // another daemon opens the connection
}

// text returns what precedes the body, and the body, as they are sent.
func (c cutResponse) text(id string) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + sealed
	body = "0123456789"
	if c.Streams {
		head += eventStream
		body = event(1) + event(2)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch c.Framing {
	case "length":
		head = strings.Replace(head, "\r\n", "\r\n"+length, 1)
	case "length-last":
		head += length
	case "chunks":
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case "trailers":
		head += "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\nSum: 45\r\n\r\n", len(body), body)
	}
	switch c.Before {
	case "interim":
		head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head
	case "late":
		head = "HTTP/1.1 200 OK\r\nAttempt-Id: 000\r\n" + sealed + "Content-Length: 4\r\n\r\nlate" + head
	}
	if c.Method == "HEAD" {
		body = ""
	}
	return head + "\r\n", body
}

// cuts returns where the response is cut: around the ends of its lines, of its head and of its first event, and before
// its end.
func (c cutResponse) cuts() []int {
	head, body := c.text("100")
	text := head + body
	at := []int{0, 1, 9, 12, len(head) + 1, len(text) - 1}
	for i := range text {
		if text[i] == '\n' {
			at = append(at, i-1, i, i+1)
		}
	}
	slices.Sort(at)
	return slices.DeleteFunc(slices.Compact(at), func(n int) bool { return n >= len(text) })
}

// mayBeWhole reports whether a caller may be given a response that was cut at a byte as a whole one: it has no framing, and
// its connection was closed after what may be a whole response.
func (c cutResponse) mayBeWhole(cut int) bool {
	head, _ := c.text("100")
	switch {
	case c.Framing != "unframed" || c.Resets:
		return false
	case c.Streams:
		return cut == len(head)+len(event(1))
	}
	return cut >= len(head)
}

// start returns a fixture with a replica that cuts its responses at the byte that cut has. If the replica keeps the connection,
// the next request uses it again.
func (c cutResponse) start(cut *atomic.Int64) *fixture {
	r := startReplica("r", func(a *receivedRequest) bool {
		head, body := c.text(a.id())
		text := head + body
		n := int(cut.Load())
		write(a, text[:min(n, len(text))])
		if n < len(text) && c.Resets {
			time.Sleep(2 * time.Millisecond) // what was written arrives
			_ = a.conn.(*net.TCPConn).SetLinger(0)
		}
		return n >= len(text) && c.Framing != "unframed"
	})
	if c.Carried {
		return newCutFixture(routeOf(c.Streams), refusingLink, []*carrierPeer{startCarrier(r)}, r)
	}
	return newFixture(routeOf(c.Streams), r)
}

// Guards against a response that is given to the caller as a whole one although its replica stopped inside its head or
// before its first event, or inside what its framing announces.
var _ = Describe("Response that is cut", func() {
	var all []cutResponse
	for _, streams := range []bool{false, true} {
		for _, framing := range []string{"length", "length-last", "chunks", "trailers", "unframed"} {
			for _, resets := range []bool{false, true} {
				all = append(all, cutResponse{Method: "POST", Streams: streams, Framing: framing, Resets: resets})
				if framing == "chunks" || framing == "unframed" {
					all = append(all, cutResponse{Method: "POST", Streams: streams, Framing: framing, Resets: resets, Carried: true})
				}
			}
			for _, before := range []string{"interim", "late"} {
				all = append(all, cutResponse{Method: "POST", Streams: streams, Framing: framing, Before: before})
			}
		}
	}
	for _, framing := range []string{"length", "length-last", "chunks", "unframed"} {
		all = append(all, cutResponse{Method: "HEAD", Framing: framing})
	}
	for _, c := range all {
		It(fmt.Sprintf("%+v", c), func() {
			var cut atomic.Int64
			w := c.start(&cut)
			for i, at := range c.cuts() {
				cut.Store(1 << 20)
				to, _ := w.serve(w.call(fmt.Sprint(100+2*i), c.Method, "x"))
				Expect(outcomeOf(to)).To(Equal(whole), "not cut: %+v", to)
				cut.Store(int64(at))
				to, _ = w.serve(w.call(fmt.Sprint(101+2*i), c.Method, "x"))
				Expect(outcomeOf(to) == whole).To(Equal(c.mayBeWhole(at)), "cut at %d: %+v", at, to)
			}
		})
	}

	// Guards against a daemon that opens connections for others and is killed, or stops, inside a head: the end that its
	// operating system sends is not the replica's.
	DescribeTable("by the daemon that opened the connection", func(streams bool, framing string, ends func(*carrierPeer)) {
		c := cutResponse{Method: "POST", Streams: streams, Framing: framing}
		head, _ := c.text("100")
		for i, at := range []int{0, 12, 17, len(head) - 2, len(head)} {
			var carrier *carrierPeer
			r := startReplica("r", func(a *receivedRequest) bool {
				text, body := c.text(a.id())
				write(a, (text + body)[:at])
				time.Sleep(10 * time.Millisecond) // what was written arrives
				ends(carrier)
				return awaitClose(a)
			})
			carrier = startCarrier(r)
			w := newCutFixture(routeOf(streams), refusingLink, []*carrierPeer{carrier}, r)
			to, _ := w.serve(w.call(fmt.Sprint(100+i), "POST", "x"))
			Expect(outcomeOf(to)).To(Equal(refused), "cut at %d: %+v", at, to)
		}
	},
		Entry("response with a length, killed", false, "length", (*carrierPeer).kill),
		Entry("response without framing, killed", false, "unframed", (*carrierPeer).kill),
		Entry("response without framing, stops", false, "unframed", (*carrierPeer).stop),
		Entry("stream with chunks, killed", true, "chunks", (*carrierPeer).kill),
		Entry("stream without framing, killed", true, "unframed", (*carrierPeer).kill),
		Entry("stream without framing, stops", true, "unframed", (*carrierPeer).stop),
	)

	// Guards against a head that arrives in pieces over a second and is given up, or taken for whole although its last piece is
	// missing.
	DescribeTable("after pieces of its head", func(streams bool, framing string, isCut bool) {
		c := cutResponse{Method: "POST", Streams: streams, Framing: framing}
		w := newFixture(routeOf(streams), startReplica("r", func(a *receivedRequest) bool {
			head, body := c.text(a.id())
			for line := range strings.Lines(head[:len(head)-2]) {
				write(a, line[:len(line)/2])
				time.Sleep(150 * time.Millisecond)
				write(a, line[len(line)/2:])
				time.Sleep(150 * time.Millisecond)
			}
			if !isCut {
				write(a, "\r\n"+body)
			}
			return false
		}))
		to, _ := w.serve(w.call("100", "POST", "x"))
		Expect(outcomeOf(to) == whole).To(Equal(!isCut), "%+v", to)
	},
		Entry("response", false, "length", false),
		Entry("response without framing", false, "unframed", false),
		Entry("response without framing, cut", false, "unframed", true),
		Entry("stream", true, "chunks", false),
		Entry("stream without framing", true, "unframed", false),
		Entry("stream without framing, cut", true, "unframed", true),
	)
})
