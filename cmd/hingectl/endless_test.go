package main

import (
	"strings"
	"testing"

	"hingewinch.org/hingewinch/internal/endless"
)

// TestResponsesWithoutEndAreGivenUp guards against a daemon whose response fills the memory of the operator's machine.
func TestResponsesWithoutEndAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, begin, piece string }{
		{"header of 1 MB that ends", head + "Long: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 2\r\n\r\n{}", "x"},
		{"body", head + "\r\n{\"a\": \"", "x"},
	} {
		s := endless.Start(t, c.begin, c.piece)
		var into any
		if err, n := fetchJSON(s.Address, "/", &into), s.Sent(); err == nil || n > maxResponseBytes+endless.SocketBytes {
			t.Errorf("%s: %v after %d bytes, want an error after some %d", c.name, err, n, maxResponseBytes)
		}
	}
}
