// This file opens connections for peers and copies bytes.

package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
)

const (
	// MaxOpen is the number of connections that a daemon carries for others at a time. Each takes two
	// descriptors and some 12 KB, so that they leave most of a small VM to its own callers.
	MaxOpen = 512
	// copyBytes is the size of a copying buffer: some events of a stream, or part of a body.
	copyBytes = 4 << 10
	// closePoll is how often Close checks whether connections are left.
	closePoll = 20 * time.Millisecond
	// drainTime is how long the rest of a request is read, and discarded, after the replica has ended its response. 1 MB
	// arrives within it at 20 Mbit/s. A peer that has read the end closes the connection before.
	drainTime = 500 * time.Millisecond
)

// Server opens connections to replicas for peers. Open must be set before the first use.
type Server struct {
	// Open connects to a replica. The error of a refusal is a [*Refused].
	Open func(ctx context.Context, id routing.Incarnation) (net.Conn, error)
	// Opened is called with the peer's address for each connection that is opened; nil: not needed.
	Opened func(peer string)
	// Broken is called when a connection to a replica broke before the replica sent a byte; nil: not
	// needed.
	Broken func(id routing.Incarnation)

	mu      sync.Mutex
	open    int
	closing bool
	closed  bool                  // connections are reset
	peers   map[net.Conn]struct{} // open connections to the daemons that asked
}

// Len returns the number of open connections.
func (s *Server) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Stop makes the server refuse further connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// Close makes the server refuse further connections, and waits until the open ones are closed. If ctx is done before, it
// resets these: at the end of the process the operating system would end them as if the replica had.
func (s *Server) Close(ctx context.Context) {
	s.Stop()
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for s.Len() > 0 {
		select {
		case <-ctx.Done():
			s.resetAll()
			return
		case <-ticker.C:
		}
	}
}

// reserve counts a connection that is about to be opened, or returns why it must not be.
func (s *Server) reserve() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closing:
		return &Refused{Reason: ReasonStopping}
	case s.open >= MaxOpen:
		return &Refused{Reason: ReasonBusy}
	}
	s.open++
	return nil
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// resetAll resets all connections to daemons that asked for them, and those that are opened later.
func (s *Server) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.peers {
		reset(c)
		_ = c.Close()
	}
}

// add keeps a connection to a daemon that asked for it. It returns false if such connections are reset.
func (s *Server) add(peer net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = make(map[net.Conn]struct{})
	}
	s.peers[peer] = struct{}{}
	return !s.closed
}

func (s *Server) remove(peer net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, peer)
}

// ServeHTTP opens one connection and copies bytes until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := decodeReplica(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.reserve(); err != nil {
		refuse(w, err)
		return
	}
	defer s.release()
	replica, err := s.Open(r.Context(), id)
	if err != nil {
		refuse(w, err)
		return
	}
	defer replica.Close()
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer peer.Close()
	defer s.remove(peer)
	if !s.add(peer) {
		reset(peer)
		return
	}
	_ = peer.SetDeadline(time.Time{}) // on failure, the next write fails too
	if s.Opened != nil {
		s.Opened(r.RemoteAddr)
	}
	const (
		accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeProtocol + "\r\n"
		framed   = headerFraming + ": " + framingVersion + "\r\n"
	)
	head, fromReplica := accepted, copyFunc(copyAll)
	if r.Header.Get(headerFraming) == framingVersion {
		head, fromReplica = accepted+framed, copyFrames
	}
	if _, err := io.WriteString(peer, head+"\r\n"); err != nil {
		return
	}
	if join(peer, buffered, replica, fromReplica) && s.Broken != nil {
		s.Broken(id)
	}
}

// refuse responds to a request for a connection that is not opened.
func refuse(w http.ResponseWriter, err error) {
	reason := ReasonReplicaUnreachable
	var r *Refused
	if errors.As(err, &r) {
		reason = r.Reason
	}
	w.Header().Set(headerReason, string(reason))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// join copies bytes in both directions until either side ends. fromPeer reads from peer, and fromReplica copies to it. It reports
// whether the replica's connection broke before it sent a byte.
func join(peer net.Conn, fromPeer io.Reader, replica net.Conn, fromReplica copyFunc) (broken bool) {
	replica = transport.Share(replica)
	var (
		wg       sync.WaitGroup
		peerLeft atomic.Bool
	)
	wg.Go(func() {
		if _, _, err := copyAll(replica, fromPeer); err != nil {
			// The other direction finds out how the response ends. Closing a connection with unread bytes resets it,
			// and a complete response would look broken.
			_, _, _ = copyAll(io.Discard, fromPeer)
		}
		peerLeft.Store(true)
		// The peer's end means that its caller has disconnected, or that it reuses no connection.
		_ = replica.Close()
	})
	n, readErr, writeErr := fromReplica(peer, replica)
	broken = readErr != nil && n == 0 && !peerLeft.Load()
	_ = replica.Close()
	if readErr != nil || writeErr != nil {
		reset(peer) // a response without a length must not look complete
	} else {
		endWriting(peer)
		wg.Wait()
	}
	_ = peer.Close()
	wg.Wait()
	return broken
}

// endWriting ends the direction to a peer, and bounds the wait for its own end.
func endWriting(peer net.Conn) {
	_ = peer.SetReadDeadline(time.Now().Add(drainTime)) // on failure, the next read fails too
	if tcp, ok := peer.(interface{ CloseWrite() error }); !ok || tcp.CloseWrite() != nil {
		_ = peer.Close()
	}
}

// buffers pools the copying buffers.
var buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// copyFunc copies until the source ends, or either side fails. It returns the number of bytes, and the error of the side that
// failed. Each piece is passed on as soon as it has arrived.
type copyFunc func(to io.Writer, from io.Reader) (n int64, readErr, writeErr error)

// copyAll is the [copyFunc] that copies bytes as they are.
func copyAll(to io.Writer, from io.Reader) (n int64, readErr, writeErr error) {
	return copyPieces(from, 0, func(piece []byte) error {
		_, err := to.Write(piece)
		return err
	})
}

// copyPieces reads until the source ends, or either side fails, and sends each piece behind room for a head.
func copyPieces(from io.Reader, head int, send func(piece []byte) error) (n int64, readErr, writeErr error) {
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buf := *pooled
	for {
		read, err := from.Read(buf[head:])
		if read > 0 {
			if err := send(buf[:head+read]); err != nil {
				return n, nil, err
			}
			n += int64(read)
		}
		switch {
		case errors.Is(err, io.EOF):
			return n, nil, nil
		case err != nil:
			return n, err, nil
		}
	}
}

// reset makes closing a connection reset it.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // on failure the connection ends without a reset
	}
}
