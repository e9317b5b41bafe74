// This file defines an HTTP server bound to its socket.

package daemon

import (
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
)

// Version is the release version, set by the linker.
var Version = "dev"

// Limits bound what a client can demand of a server. There is no limit on the time
// to write a complete response: streams can be long-lived, and every write has its
// own deadline.
type Limits struct {
	ReadHeader  time.Duration // time to receive a request's header
	Idle        time.Duration // between two requests on a connection
	HeaderBytes int
	// Room bounds the connections of clients and the heads of their requests, all together; nil: each alone is bounded.
	Room *coordination.ConnRoom
}

// Listener is an HTTP server and the socket it serves.
type Listener struct {
	Server *http.Server
	Socket net.Listener
	// AcceptFailed is called when a connection can't be accepted, as with too many open files; nil: not needed. The server tries
	// again after 5 ms, and after up to a second while it goes on failing.
	AcceptFailed func(err error)
}

// Listen opens a socket. The caller sets the server's handler before Serve. network
// is tcp or tcp4, address is IP:PORT.
func Listen(network, address string, l Limits, errorLog *log.Logger) (*Listener, error) {
	socket, err := net.Listen(network, address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; check that the address is this VM's and free", address)
	}
	server := &http.Server{ReadHeaderTimeout: l.ReadHeader, IdleTimeout: l.Idle, MaxHeaderBytes: l.HeaderBytes, ErrorLog: errorLog}
	if l.Room != nil {
		socket, server.ConnState, server.ConnContext = &clientListener{socket, l.Room}, observeState, withConn
	}
	return &Listener{Socket: socket, Server: server}, nil
}

// Address returns the listener's address as IP:PORT.
func (l *Listener) Address() string { return l.Socket.Addr().String() }

// Serve accepts connections until Close or a graceful shutdown. Any other error is
// sent to failed.
func (l *Listener) Serve(failed chan<- error) {
	if l.Server.ConnContext != nil {
		l.Server.Handler = observeBodies(l.Server.Handler)
	}
	if err := l.Server.Serve(reportingListener{l.Socket, l.AcceptFailed}); err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed <- eris.Wrapf(err, "serve on %s", l.Socket.Addr())
	}
}

// Close stops the server immediately and closes its socket. Errors are ignored: they
// mean that it was closed before.
func (l *Listener) Close() {
	_ = l.Server.Close()
	_ = l.Socket.Close()
}

// reportingListener reports errors of Accept.
type reportingListener struct {
	net.Listener
	failed func(err error) // may be nil
}

// Accept implements [net.Listener].
func (l reportingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.failed != nil && !errors.Is(err, net.ErrClosed) {
		l.failed(err)
	}
	return c, err
}
