// This file implements links, which forward bytes and datagrams between two loopback addresses
// and inject network faults: delays, resets, and stalls of one or both directions.

package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault is the fault that a link injects into its connections. The zero value is none.
type LinkFault struct {
	Share   float64       // fraction of the connections affected, including open ones
	Delay   time.Duration // added to each read
	Reset   bool          // resets the connections
	Forward bool          // stalls the direction from the side that opened the connection
	Back    bool          // stalls the direction to the side that opened the connection
}

// linkPoll is the interval at which a stalled direction checks whether it may continue.
const linkPoll = 5 * time.Millisecond

// Link forwards TCP connections from one address to another. It is safe for concurrent use.
type Link struct {
	mu       sync.Mutex
	listener net.Listener
	target   string
	fault    LinkFault
	conns    map[*linkConn]struct{}
	// partitions are those of the daemons that open the link's connections; nil: they have none.
	partitions *partitions
	// deliveries records what the link delivers; nil: it is not recorded.
	deliveries *deliveries
	small      bool // its sockets have small buffers
}

type linkConn struct {
	near, far *net.TCPConn
	source    string // IP address of the side that opened the connection
	delivery  *delivery
	random    float64 // random number in [0, 1); a fault applies if its Share is greater
	// nearShut and farShut say that the link sends nothing more to a side.
	nearShut, farShut atomic.Bool
}

// openLink opens a link that listens on address and forwards to target.
func openLink(address, target string) (*Link, error) { return openLinkWith(address, target, false) }

// openLinkWith is openLink for a link whose sockets may have small buffers.
func openLinkWith(address, target string, small bool) (*Link, error) {
	l, err := listenTCP(address, small)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, target: target, small: small, conns: make(map[*linkConn]struct{})}
	go link.accept(l)
	return link, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// SetTarget changes the target of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// SetFault replaces the link's fault; the zero value ends it.
func (l *Link) SetFault(t LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = t
	if !t.Reset {
		return
	}
	for c := range l.conns {
		if c.random < t.Share {
			l.resetByFault(c)
		}
	}
}

// Close closes the listener and resets all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for c := range l.conns {
		l.resetByFault(c)
	}
}

// CloseListener closes the listener. Open connections go on.
func (l *Link) CloseListener() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

// resetConns resets all connections.
func (l *Link) resetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.resetByFault(c)
	}
}

// resetByFault resets a connection and records that no end of it did.
func (l *Link) resetByFault(c *linkConn) {
	l.deliveries.recordReset(c.delivery, time.Now())
	c.reset()
}

// Reopen listens again after Close, on the same address, or on another port if that address
// is in use.
func (l *Link) Reopen() error {
	address := l.Address()
	listener, err := listenTCP(address, l.small)
	if err != nil {
		listener, err = listenTCP("127.0.0.1:0", l.small)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c.(*net.TCPConn))
	}
}

func (l *Link) forward(near *net.TCPConn) {
	l.mu.Lock()
	target, t := l.target, l.fault
	l.mu.Unlock()
	c := &linkConn{near: near, source: sourceOf(near), random: rand.Float64()}
	if t.Reset && c.random < t.Share || l.partitions.resetsNew(c.source) {
		resetConn(near)
		return
	}
	far, err := dialTCP(target, l.small)
	if err != nil {
		resetConn(near)
		return
	}
	c.far = far
	c.delivery = l.deliveries.open(connName(far.LocalAddr().String(), far.RemoteAddr().String()), c.source, time.Now())
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyDirection(c, c.far, c.near, func(t *LinkFault) bool { return t.Forward }) })
	wg.Go(func() { l.copyDirection(c, c.near, c.far, func(t *LinkFault) bool { return t.Back }) })
	wg.Wait()
	_ = c.near.Close()
	_ = c.far.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// sourceOf returns the IP address of the side that opened a connection.
func sourceOf(c *net.TCPConn) string { return c.RemoteAddr().(*net.TCPAddr).IP.String() }

// resetFrom resets the connections that a side opened.
func (l *Link) resetFrom(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.source == source {
			l.resetByFault(c)
		}
	}
}

// copyDirection copies one direction. It forwards the end of the stream with CloseWrite.
func (l *Link) copyDirection(c *linkConn, to, from *net.TCPConn, stalled func(*LinkFault) bool) {
	size := copyBytes
	if l.small {
		size = smallCopyBytes
	}
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil && from == c.near {
			l.deliveries.recordClose(c.delivery, time.Now())
		}
		l.stall(c, stalled)
		if n > 0 {
			// Taken before the write, so that a daemon can't have the bytes before the recorded time.
			at := time.Now()
			if _, werr := to.Write(buf[:n]); werr != nil {
				if to == c.near { // the other direction may wait for room at the replica
					l.deliveries.recordClose(c.delivery, time.Now())
				}
				c.reset()
				return
			}
			if to == c.near {
				l.deliveries.recordDelivery(c.delivery, n, at)
			}
		}
		if err != nil {
			if isEOF(err) && !c.wasReset(from) {
				if to == c.near {
					l.deliveries.recordEnd(c.delivery, time.Now())
				}
				c.shut(to).Store(true)
				_ = to.CloseWrite()
				return
			}
			c.reset()
			return
		}
	}
}

// stall waits for the delay of the link's fault, and while the fault or a partition stalls this
// direction.
func (l *Link) stall(c *linkConn, stalled func(*LinkFault) bool) {
	for delayed := false; ; {
		l.mu.Lock()
		t := l.fault
		l.mu.Unlock()
		if l.partitions.silences(c.source) {
			time.Sleep(linkPoll)
			continue
		}
		if c.random >= t.Share {
			return
		}
		if t.Delay > 0 && !delayed {
			time.Sleep(t.Delay)
			delayed = true
		}
		if !stalled(&t) {
			return
		}
		time.Sleep(linkPoll)
	}
}

// shut returns whether the link sends nothing more to a side.
func (c *linkConn) shut(side *net.TCPConn) *atomic.Bool {
	if side == c.near {
		return &c.nearShut
	}
	return &c.farShut
}

// wasReset reports whether a side whose end was read had reset its connection. That is not known if the link sends nothing
// more to it, but then no write of the link can have taken the error.
func (c *linkConn) wasReset(side *net.TCPConn) bool {
	reset := refusesWrites(side)
	return reset && !c.shut(side).Load()
}

func (c *linkConn) reset() {
	resetConn(c.near)
	resetConn(c.far)
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// peerLink forwards datagrams and connections to one daemon, from the address that the daemon
// announces to its peers.
type peerLink struct {
	tcp    *Link
	socket *net.UDPConn
	target *net.UDPAddr

	mu      sync.Mutex
	blocked func(from string) bool // by the sender's IP
}

// openPeerLink opens a link that listens on address and forwards to target.
func openPeerLink(address, target string) (*peerLink, error) {
	tcp, err := openLink(address, target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	p := &peerLink{tcp: tcp, blocked: func(string) bool { return false }}
	if p.target, err = net.ResolveUDPAddr("udp4", target); err != nil {
		return nil, err
	}
	if p.socket, err = net.ListenUDP("udp4", at); err != nil {
		return nil, err
	}
	go p.forward()
	return p, nil
}

func (p *peerLink) forward() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		blocked := p.blocked(from.IP.String())
		p.mu.Unlock()
		if !blocked {
			_, _ = p.socket.WriteToUDP(buf[:n], p.target)
		}
	}
}

// block drops the datagrams of the senders for which blocked returns true. If stallTCP is set, it
// also stalls all connections.
func (p *peerLink) block(blocked func(from string) bool, stallTCP bool) {
	p.mu.Lock()
	p.blocked = blocked
	p.mu.Unlock()
	t := LinkFault{}
	if stallTCP {
		t = LinkFault{Share: 1, Forward: true, Back: true}
	}
	p.tcp.SetFault(t)
}

func (p *peerLink) close() {
	_ = p.socket.Close()
	p.tcp.Close()
}
