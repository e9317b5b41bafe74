package relay

import (
	"bytes"
	"testing"
)

// FuzzEvents reads a stream in pieces of any size. The output must be a prefix of
// the stream that ends at the end of an event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n"), 1)
	f.Add([]byte("weight-versions:3\nid: 7\ndata: x\n\nid: 7\n\n"), 5)
	f.Add([]byte("\n\n\n\n"), 1)
	f.Add([]byte("id: 5\n\nid: 4\n\n"), 100)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		if size < 1 || size > 1<<16 {
			return
		}
		e := newEventReader("")
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			events, ok := e.add(rest[:n])
			if !ok {
				break
			}
			out = append(out, events...)
			rest = rest[n:]
		}
		if !bytes.HasPrefix(stream, out) {
			t.Fatalf("%q is not a prefix of %q", out, stream)
		}
		if len(out) > 0 && !bytes.HasSuffix(out, []byte("\n\n")) && !bytes.HasSuffix(out, []byte("\r\n\r\n")) {
			t.Fatalf("%q ends inside an event", out)
		}
	})
}
