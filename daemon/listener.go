// This file defines a server on its socket.

package daemon

import (
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Version is the release, set by the linker.
var Version = "dev"

// Limits bound what a server bears of a client. There is none for writing a whole
// answer: a stream may take long, and each write has a deadline of its own.
type Limits struct {
	ReadHeader  time.Duration // until a request's header has come
	Idle        time.Duration // between two requests of a connection
	HeaderBytes int
}

// Listener is one server on its socket.
type Listener struct {
	Server *http.Server
	Socket net.Listener
}

// Listen opens a socket. The server has no handler yet. network is tcp or tcp4,
// address IP:PORT.
func Listen(network, address string, l Limits, errorLog *log.Logger) (*Listener, error) {
	socket, err := net.Listen(network, address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; check that the address is this VM's and free", address)
	}
	return &Listener{Socket: socket, Server: &http.Server{
		ReadHeaderTimeout: l.ReadHeader, IdleTimeout: l.Idle, MaxHeaderBytes: l.HeaderBytes, ErrorLog: errorLog,
	}}, nil
}

// Address returns where the listener is served, as IP:PORT.
func (l *Listener) Address() string { return l.Socket.Addr().String() }

// Serve serves until Close or a planned stop. Any other end is sent to failed.
func (l *Listener) Serve(failed chan<- error) {
	if err := l.Server.Serve(l.Socket); err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed <- eris.Wrapf(err, "serve on %s", l.Socket.Addr())
	}
}

// Close ends the server at once and closes its socket. Errors mean that it was
// closed before.
func (l *Listener) Close() {
	_ = l.Server.Close()
	_ = l.Socket.Close()
}
