package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// TestDenialOnKeptConnection guards against a denial that is not written, since the write deadline of an earlier
// request on the connection is still in force: its caller would see the connection closed without a response.
func TestDenialOnKeptConnection(t *testing.T) {
	t.Parallel()
	w, _ := startLinks(t)
	c, err := net.DialTimeout("tcp4", w.fleet.daemons[0].callers.Address(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, k := range []struct {
		id, key string
		after   time.Duration
		status  int
	}{
		{"first", pacedKey, 0, http.StatusOK},
		{"soon", "nobody's", 0, http.StatusUnauthorized},
		{"later", "nobody's", 1500 * time.Millisecond, http.StatusUnauthorized},
		{"last", pacedKey, 0, http.StatusOK},
	} {
		pause(w.ctx, k.after)
		q := standin.CallerRequest{Method: http.MethodPost, Target: pacedRoutes[4].Prefix + k.id, Host: routeHost, ID: k.id, Key: k.key, Timeout: 400 * time.Millisecond, Body: "body"}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := io.WriteString(c, q.Text()); err != nil {
			t.Fatalf("%s: write: %v", k.id, err)
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			t.Fatalf("%s: %v, want status %d", k.id, err, k.status)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != k.status {
			t.Errorf("%s: status %d and %v, want %d", k.id, resp.StatusCode, err, k.status)
		}
	}
}
