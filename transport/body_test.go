package transport_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/transport"
)

// TestBoundedBodies guards against bodies without end, and against a bound that a body of the largest size meets.
func TestBoundedBodies(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int64
		body   io.Reader
		want   int
		err    error
	}{
		{"empty", -1, strings.NewReader(""), 0, nil},
		{"as large as the bound", -1, strings.NewReader("12345"), 5, nil},
		{"one byte more", -1, strings.NewReader("123456"), 5, transport.ErrBodyTooLarge},
		{"one byte more, declared", 6, strings.NewReader("123456"), 0, transport.ErrBodyTooLarge},
		{"without end", -1, &endless{piece: "x"}, 5, transport.ErrBodyTooLarge},
	} {
		resp := &http.Response{ContentLength: c.length, Body: io.NopCloser(c.body)}
		transport.BoundBody(resp, 5)
		got, err := io.ReadAll(resp.Body)
		if len(got) != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: %d bytes, %v; want %d, %v", c.name, len(got), err, c.want, c.err)
		}
	}
}
