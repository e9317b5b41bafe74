// This file forwards bytes between two ends on loopback and troubles them on the
// way: delays, resets, silence, one direction cut.

package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Trouble is what a link does to connections.
type Trouble struct {
	Share   float64       // of the connections; those that are open are drawn as well
	Delay   time.Duration // of each piece
	Reset   bool          // breaks them
	Forward bool          // holds up what goes from the opener
	Back    bool          // holds up what goes to the opener
}

// linkPoll is how often a held-up direction looks whether it may go on.
const linkPoll = 5 * time.Millisecond

// Link is a forwarder. It is safe for use by many goroutines.
type Link struct {
	mu       sync.Mutex
	listener net.Listener
	target   string
	trouble  Trouble
	conns    map[*linkConn]struct{}
}

type linkConn struct {
	near, far *net.TCPConn
	draw      float64 // decides whether the trouble applies, by its share
}

// openLink forwards from an address to a target.
func openLink(address, target string) (*Link, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, target: target, conns: make(map[*linkConn]struct{})}
	go link.accept(l)
	return link, nil
}

// Address returns where the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// SetTarget sends new connections to another target.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// SetTrouble replaces the link's trouble; the zero value ends it.
func (l *Link) SetTrouble(t Trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = t
	if !t.Reset {
		return
	}
	for c := range l.conns {
		if c.draw < t.Share {
			c.reset()
		}
	}
}

// Close ends the link and its connections. New ones are refused.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for c := range l.conns {
		c.reset()
	}
}

// Reopen listens again after Close, at the same address unless that was taken meanwhile.
func (l *Link) Reopen() error {
	address := l.Address()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		listener, err = net.Listen("tcp4", "127.0.0.1:0")
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
		go l.carry(c.(*net.TCPConn))
	}
}

func (l *Link) carry(near *net.TCPConn) {
	l.mu.Lock()
	target, t := l.target, l.trouble
	l.mu.Unlock()
	c := &linkConn{near: near, draw: rand.Float64()}
	if t.Reset && c.draw < t.Share {
		resetConn(near)
		return
	}
	far, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		resetConn(near)
		return
	}
	c.far = far.(*net.TCPConn)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(c, c.far, c.near, func(t *Trouble) bool { return t.Forward }) })
	wg.Go(func() { l.pump(c, c.near, c.far, func(t *Trouble) bool { return t.Back }) })
	wg.Wait()
	_ = c.near.Close()
	_ = c.far.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// pump copies one direction. The end of the sender is passed on like its bytes.
func (l *Link) pump(c *linkConn, to, from *net.TCPConn, held func(*Trouble) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.hold(c, held)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if isEOF(err) {
				_ = to.CloseWrite()
				return
			}
			c.reset()
			return
		}
	}
}

// hold waits while the link's trouble holds this direction up.
func (l *Link) hold(c *linkConn, held func(*Trouble) bool) {
	for delayed := false; ; {
		l.mu.Lock()
		t := l.trouble
		l.mu.Unlock()
		if c.draw >= t.Share {
			return
		}
		if t.Delay > 0 && !delayed {
			time.Sleep(t.Delay)
			delayed = true
		}
		if !held(&t) {
			return
		}
		time.Sleep(linkPoll)
	}
}

func (c *linkConn) reset() {
	resetConn(c.near)
	resetConn(c.far)
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// peerLink carries datagrams and connections to one daemon, at the address that
// the others know.
type peerLink struct {
	news   *Link
	socket *net.UDPConn
	target *net.UDPAddr

	mu      sync.Mutex
	blocked func(from string) bool // by the sender's IP
}

// openPeerLink forwards what comes to an address to the daemon's own.
func openPeerLink(address, target string) (*peerLink, error) {
	news, err := openLink(address, target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	p := &peerLink{news: news, blocked: func(string) bool { return false }}
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

// block drops the datagrams of some senders. News is held up if all are blocked.
func (p *peerLink) block(blocked func(from string) bool, news bool) {
	p.mu.Lock()
	p.blocked = blocked
	p.mu.Unlock()
	t := Trouble{}
	if news {
		t = Trouble{Share: 1, Forward: true, Back: true}
	}
	p.news.SetTrouble(t)
}

func (p *peerLink) close() {
	_ = p.socket.Close()
	p.news.Close()
}
