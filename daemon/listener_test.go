package daemon

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// listenForTest opens a listener with room for some connections, over TLS if a configuration is given, whose handler reads bodies.
// It responds to /wait, of which it tells waiting, once release is closed.
func listenForTest(t *testing.T, conns int, cfg *tls.Config, waiting chan<- struct{}, release <-chan struct{}) string {
	t.Helper()
	limits := Limits{ReadHeader: time.Minute, Idle: time.Minute, HeaderBytes: 64 << 10, Room: ConnLimit{Conns: conns, HeadBytes: 1 << 20}.NewRoom(nil)}
	l, err := Listen("tcp", "127.0.0.1:0", limits, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	if cfg != nil {
		l.Socket = tls.NewListener(l.Socket, cfg)
	}
	l.Server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			waiting <- struct{}{}
			<-release
		}
		fmt.Fprint(w, "served")
	})
	go l.Serve(make(chan error, 1))
	t.Cleanup(l.Close)
	return l.Address()
}

// TestServedRequestsOutlastACrowd guards against connections whose requests are being served, and that give way to a crowd's, and
// against a crowd that keeps an ordinary request out, over TLS too.
func TestServedRequestsOutlastACrowd(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS() // for its certificate
	t.Cleanup(server.Close)
	serverTLS, clientTLS := &tls.Config{Certificates: server.TLS.Certificates}, &tls.Config{InsecureSkipVerify: true}
	for _, overTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %t", overTLS), func(t *testing.T) {
			waiting, release := make(chan struct{}), make(chan struct{})
			var cfg *tls.Config
			if overTLS {
				cfg = serverTLS
			}
			address := listenForTest(t, 20, cfg, waiting, release)
			send := func(text string) net.Conn {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				if overTLS {
					c = tls.Client(c, clientTLS)
				}
				_, _ = io.WriteString(c, text) // the connection may have given way
				return c
			}
			status := func(c net.Conn) int {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return 0
				}
				body, _ := io.ReadAll(resp.Body)
				if string(body) != "served" {
					return 0
				}
				return resp.StatusCode
			}
			var served []net.Conn
			for range 3 {
				served = append(served, send("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"), send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
			}
			for range served {
				<-waiting
			}
			for i := range 60 {
				send([]string{"", "GET / HTTP/1.1\r\nA:", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}[i%4])
			}
			if got := status(send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != http.StatusOK {
				t.Errorf("an ordinary request beside the crowd has status %d", got)
			}
			close(release)
			for i, c := range served {
				if got := status(c); got != http.StatusOK {
					t.Errorf("request %d, which was being served, has status %d", i, got)
				}
			}
		})
	}
}
