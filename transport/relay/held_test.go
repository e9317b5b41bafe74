package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hingewinch.org/hingewinch/transport/clock"
)

// zeros is a body of a number of bytes.
func zeros(n int64) io.ReadCloser { return io.NopCloser(io.LimitReader(zeroReader{}, n)) }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestBodiesAreReadWithinTheirBounds guards against bodies that fill the memory, and against bounds that a permitted
// body meets.
func TestBodiesAreReadWithinTheirBounds(t *testing.T) {
	for _, c := range []struct {
		name     string
		length   int64 // declared; negative: none
		body     io.ReadCloser
		want     error
		wantSize int
	}{
		{"none", 0, http.NoBody, nil, 0},
		{"response to HEAD that declares a large body", maxResponseBytes * 2, http.NoBody, nil, 0},
		{"small", 4, io.NopCloser(strings.NewReader("fine")), nil, 4},
		{"small, without a length", -1, io.NopCloser(strings.NewReader("fine")), nil, 4},
		{"200 KB", 200 << 10, zeros(200 << 10), nil, 200 << 10},
		{"200 KB, without a length", -1, zeros(200 << 10), nil, 200 << 10},
		{"the largest", maxResponseBytes, zeros(maxResponseBytes), nil, maxResponseBytes},
		{"the largest, without a length", -1, zeros(maxResponseBytes), nil, maxResponseBytes},
		{"one byte more", -1, zeros(maxResponseBytes + 1), errTooLarge, 0},
		{"one byte more, declared", maxResponseBytes + 1, zeros(maxResponseBytes + 1), errTooLarge, 0},
		{"without end", -1, zeros(1 << 62), errTooLarge, 0},
	} {
		var held heldBytes
		body, err := held.readBody(&http.Response{ContentLength: c.length, Body: c.body}, nil)
		if !errors.Is(err, c.want) || len(body) != c.wantSize {
			t.Errorf("%s: %d bytes, %v; want %d, %v", c.name, len(body), err, c.wantSize, c.want)
		}
		held.release(cap(body))
		if n := held.taken.Load(); n != 0 {
			t.Errorf("%s: %d bytes stay counted", c.name, n)
		}
	}
}

// TestBodiesShareMemory guards against many large bodies at once, each within its bound, and against a small one that
// is refused because of them.
func TestBodiesShareMemory(t *testing.T) {
	var held heldBytes
	whole := 0
	for range 20 {
		body, err := held.readBody(&http.Response{ContentLength: -1, Body: zeros(maxResponseBytes)}, nil)
		switch {
		case err == nil && len(body) == maxResponseBytes:
			whole++ // and it stays in use
		case !errors.Is(err, errMemory):
			t.Errorf("%d bytes, %v", len(body), err)
		}
		if n := held.taken.Load(); n > maxHeldBytes {
			t.Fatalf("%d bytes are held, want at most %d", n, maxHeldBytes)
		}
	}
	if whole != 5 {
		t.Errorf("%d of the largest bodies are held at once, want 5", whole)
	}
	if body, err := held.readBody(&http.Response{ContentLength: uncountedBytes, Body: zeros(uncountedBytes)}, nil); err != nil || len(body) != uncountedBytes {
		t.Errorf("a small body: %d bytes, %v", len(body), err)
	}
}

// stallAll begins bodies that stall after a part each, until the memory for a further one is lacking. It returns how many
// there are, and a function that ends them and returns how many were abandoned.
func stallAll(t *testing.T, held *heldBytes, part int64) (stalled int, end func() (abandoned int)) {
	t.Helper()
	var reads sync.WaitGroup
	var bodies []*io.PipeWriter
	abandoned := make(chan bool, 1000)
	for held.taken.Load()+4*part < maxHeldBytes {
		r, w := io.Pipe()
		bodies = append(bodies, w)
		reads.Go(func() {
			defer r.Close() // else the write below would block
			_, err := held.readBody(&http.Response{ContentLength: -1, Body: r}, func() { _ = w.CloseWithError(net.ErrClosed) })
			abandoned <- errors.Is(err, errMemory)
		})
		if _, err := io.CopyN(w, zeroReader{}, part); err != nil {
			t.Fatal(err)
		}
	}
	return len(bodies), func() int {
		for _, w := range bodies {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
		}
		reads.Wait()
		close(abandoned)
		n := 0
		for is := range abandoned {
			if is {
				n++
			}
		}
		return n
	}
}

// TestStalledBodiesGiveTheirMemoryUp guards against sound responses that are refused because replicas stall inside others.
func TestStalledBodiesGiveTheirMemoryUp(t *testing.T) {
	var held heldBytes
	stalled, end := stallAll(t, &held, 1<<20)
	sound := func() error {
		body, err := held.readBody(&http.Response{ContentLength: 4 << 20, Body: zeros(4 << 20)}, nil)
		held.release(cap(body))
		return err
	}
	if err := sound(); !errors.Is(err, errMemory) {
		t.Errorf("with bodies that have just begun: %v, want errMemory", err)
	}
	held.ageBodies(stallTime)
	if err := sound(); err != nil {
		t.Errorf("with %d stalled bodies: %v", stalled, err)
	}
	if n := end(); n == 0 || n > stalled/2 {
		t.Errorf("%d of %d stalled bodies were abandoned, want as many as one sound body needs", n, stalled)
	}
	if n := held.taken.Load(); n != 0 {
		t.Errorf("%d bytes stay counted", n)
	}
}

// ageBodies changes the bodies that are being read as if a time had passed.
func (h *heldBytes) ageBodies(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for b := range h.reading {
		b.progressAt = b.progressAt.Add(-d)
	}
}

// TestBodyStalls guards against a body that arrives at a sound rate and is taken for stalled, and against one of which a
// byte arrives now and then.
func TestBodyStalls(t *testing.T) {
	begun := clock.Now()
	for _, c := range []struct {
		name  string
		chunk int           // bytes
		each  time.Duration // between two chunks
		want  bool          // stalls within ten seconds
	}{
		{"1 KB each 10 ms", 1 << 10, 10 * time.Millisecond, false},
		{"64 KB each .9 s", 64 << 10, 900 * time.Millisecond, false},
		{"a byte each 200 ms", 1, 200 * time.Millisecond, true},
		{"16 KB each .5 s", 16 << 10, 500 * time.Millisecond, true},
	} {
		b, stalls := bodyRead{progressAt: begun}, false
		for at := c.each; at < 10*time.Second; at += c.each {
			stalls = stalls || b.hasStalled(begun.Add(at-1))
			b.receive(c.chunk, begun.Add(at))
		}
		if stalls != c.want {
			t.Errorf("%s: stalls %t, want %t", c.name, stalls, c.want)
		}
	}
}
