package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
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
		body, err := held.readBody(&http.Response{ContentLength: c.length, Body: c.body})
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
		body, err := held.readBody(&http.Response{ContentLength: -1, Body: zeros(maxResponseBytes)})
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
	if body, err := held.readBody(&http.Response{ContentLength: uncountedBytes, Body: zeros(uncountedBytes)}); err != nil || len(body) != uncountedBytes {
		t.Errorf("a small body: %d bytes, %v", len(body), err)
	}
}
