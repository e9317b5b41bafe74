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

// TestEventsThatNeverEndTakeLittleMemory guards against an event without end, of which each of many streams held a
// part until their memory together was exhausted, and against memory that stays counted.
func TestEventsThatNeverEndTakeLittleMemory(t *testing.T) {
	const streams = 100
	piece := bytes.Repeat([]byte{'x'}, streamReadBytes)
	var held heldBytes
	var readers []*eventReader
	for range streams {
		e := newEventReader("")
		e.held = &held
		readers = append(readers, e)
	}
	refused, tooLarge := 0, 0
	for range 2 * maxEventBytes / streamReadBytes {
		for _, e := range readers {
			if e.held == nil {
				continue
			}
			_, ok := e.add(piece)
			if n := held.taken.Load(); n > maxHeldBytes {
				t.Fatalf("%d bytes are held, want at most %d", n, maxHeldBytes)
			}
			if ok {
				continue
			}
			if e.noMemory {
				refused++
			} else {
				tooLarge++
			}
			e.free()
			e.held = nil
		}
	}
	if refused == 0 || tooLarge == 0 || refused+tooLarge != streams {
		t.Errorf("%d events refused for memory and %d as too large, want some of both and %d in all", refused, tooLarge, streams)
	}
	if n := held.taken.Load(); n != 0 {
		t.Errorf("%d bytes stay counted", n)
	}
}

// TestLargeEventsReturnTheirMemory guards against streams that keep the memory of a large event after it was forwarded.
func TestLargeEventsReturnTheirMemory(t *testing.T) {
	var held heldBytes
	e := newEventReader("")
	e.held = &held
	event := append(bytes.Repeat([]byte{'x'}, maxEventBytes-2), "\n\n"...)
	for range 3 {
		var out []byte
		for rest := event; len(rest) > 0; rest = rest[min(len(rest), streamReadBytes):] {
			events, ok := e.add(rest[:min(len(rest), streamReadBytes)])
			if !ok {
				t.Fatal("an event of the largest size is refused")
			}
			out = append(out, events...)
		}
		if !bytes.Equal(out, event) {
			t.Errorf("%d bytes are returned, want the event of %d", len(out), len(event))
		}
	}
	taken := e.takePending()
	if n := held.taken.Load(); n != 0 || len(taken) != 0 {
		t.Errorf("%d bytes stay counted and %d pending", n, len(taken))
	}
}

// BenchmarkLargeEvent measures an event of the largest size, which was searched anew with each read.
func BenchmarkLargeEvent(b *testing.B) {
	piece := bytes.Repeat([]byte{'x'}, streamReadBytes)
	for b.Loop() {
		e := newEventReader("")
		for range maxEventBytes / streamReadBytes {
			if _, ok := e.add(piece); !ok {
				b.Fatal("refused")
			}
		}
	}
}

// TestEventsThatWereNotForwardedDoNotCount guards against a stream that is broken off because a second replica's events, which
// were dropped since the silent one went on first, count as sent: the silent one's next event then has an id that does
// not increase.
func TestEventsThatWereNotForwardedDoNotCount(t *testing.T) {
	e := newEventReader("")
	forward := func(p string) {
		t.Helper()
		if _, ok := e.add([]byte(p)); !ok {
			t.Fatalf("%q is not accepted after event %q", p, e.forwarded.id)
		}
		e.setForwarded()
	}
	forward("id: 1\ndata: a\n\nid: 2\nda")
	pending := e.takePending()
	if _, ok := e.add([]byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")); !ok {
		t.Fatal("events of the second replica are not accepted")
	}
	e.restorePending(pending)
	if e.forwarded.id != "1" || e.forwarded.count != 1 {
		t.Errorf("at event %q after %d, want 1 after 1", e.forwarded.id, e.forwarded.count)
	}
	forward("ta: b\n\n")
	if e.forwarded.id != "2" || e.forwarded.count != 2 {
		t.Errorf("at event %q after %d, want 2 after 2", e.forwarded.id, e.forwarded.count)
	}
}
