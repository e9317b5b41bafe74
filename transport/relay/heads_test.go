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
	framing string // length, length-last (its header is the last), chunks, or unframed
	streams bool
	resets  bool // the connection is reset at the cut, and otherwise closed
}

// text returns the head and the body, as they are sent.
func (c cutResponse) text(id string) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + sealed
	body = "0123456789"
	if c.streams {
		head += eventStream
		body = event(1) + event(2)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch c.framing {
	case "length":
		head = strings.Replace(head, "\r\n", "\r\n"+length, 1)
	case "length-last":
		head += length
	case "chunks":
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n", body
}

// cuts returns where the response is cut: around the ends of its lines, of its head and of its first event, and before
// its end.
func (c cutResponse) cuts() []int {
	head, body := c.text("12")
	at := []int{0, 1, 9, 12, len(head) + 1, len(head) + len(event(1)), len(head) + len(body) - 1}
	for i := range head {
		if head[i] == '\n' {
			at = append(at, i-1, i, i+1)
		}
	}
	slices.Sort(at)
	return slices.DeleteFunc(slices.Compact(at), func(n int) bool { return n >= len(head)+len(body) })
}

// mayBeWhole reports whether a caller may be given a response that was cut at a byte as a whole one: it has no framing, and
// its connection was closed after what may be a whole response.
func (c cutResponse) mayBeWhole(cut int) bool {
	head, _ := c.text("12")
	switch {
	case c.framing != "unframed" || c.resets:
		return false
	case c.streams:
		return cut == len(head)+len(event(1))
	}
	return cut >= len(head)
}

// Guards against a response that is given to the caller as a whole one although its replica stopped inside its head or
// before its first event, or inside what its framing announces.
var _ = Describe("Response that is cut", func() {
	for _, streams := range []bool{false, true} {
		for _, framing := range []string{"length", "length-last", "chunks", "unframed"} {
			for _, resets := range []bool{false, true} {
				c := cutResponse{framing, streams, resets}
				It(fmt.Sprintf("%+v", c), func() {
					var cut atomic.Int64
					w := newFixture(routeOf(streams), startReplica("r", func(a *receivedRequest) bool {
						head, body := c.text(a.id())
						write(a, (head + body)[:cut.Load()])
						if resets {
							time.Sleep(2 * time.Millisecond) // what was written arrives
							_ = a.conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					}))
					for i, at := range c.cuts() {
						cut.Store(int64(at))
						to, _ := w.serve(w.call(fmt.Sprint(10+i), "POST", "x"))
						Expect(outcomeOf(to) == whole).To(Equal(c.mayBeWhole(at)), "cut at %d: %+v", at, to)
					}
				})
			}
		}
	}
})
