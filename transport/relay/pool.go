// This file keeps connections to replicas. A connection belongs to one incarnation of a
// replica and not to an address, because addresses move to other services, and one that was
// open to a replica before it started again leads nowhere.

package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

const (
	readBufferBytes = 4 << 10 // a header and some events fit
	// idleShare is the part of the replica's own idle time for which a
	// connection is kept, so that it is not used while the replica closes it. With
	// 0.9 callers are served as well.
	idleShare = 0.7
	// idleDefault holds where the replica names no time.
	idleDefault = 20 * time.Second
	// idlePerReplica bounds the idle connections to one replica.
	idlePerReplica = 32
)

// conn is a connection to a replica.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	replica routing.Incarnation
	reused  bool
	opened  time.Time
	// maxIdle is how long it may be idle; below 0: it must not be used again.
	maxIdle   time.Duration
	idleSince time.Time
}

// clean reports whether a connection that was idle is still open and nothing has
// arrived on it. Bytes that came meanwhile belong to no request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// Pool keeps idle connections. It is safe for use by many goroutines.
type Pool struct {
	dialer    net.Dialer
	dialTimes routing.DialTimes
	doubts    routing.BrokenLinks
	checks    endChecks

	mu    sync.Mutex
	idle  map[routing.Incarnation][]*conn
	count map[routing.Incarnation]int // open connections
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{KeepAlive: -1},
		idle:   make(map[routing.Incarnation][]*conn),
		count:  make(map[routing.Incarnation]int),
	}
}

// get returns a connection to a replica: the one that was used last, or a new
// one. What is newest is the least likely to be closed, and the others grow old
// and are closed, so that their number follows the need.
// At most limit connections are open to a replica at a time; 0 is no bound.
func (p *Pool) get(ctx context.Context, r *routing.Replica, limit int, now time.Time) (*conn, error) {
	for {
		c := p.take(r.Incarnation(), now)
		if c == nil {
			break
		}
		if p.doubts.MayReuse(r.Domain, c.idleSince) && c.clean() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(r.Incarnation(), limit) {
		return nil, errFull
	}
	return p.open(ctx, r)
}

// open opens a connection that was reserved.
func (p *Pool) open(ctx context.Context, r *routing.Replica) (*conn, error) {
	raw, err := p.dial(ctx, r.Address)
	if err != nil {
		p.release(r.Incarnation())
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), replica: r.Incarnation(), opened: clock.Now(), maxIdle: idleDefault}, nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := p.dialer
	dialer.Timeout = p.dialTimes.Timeout()
	begun := clock.Now()
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		p.dialTimes.Observe(clock.Since(begun))
	}
	return raw, err
}

// errFull means that this daemon has its share of a replica's connections.
var errFull = errors.New("all connections that this daemon may open to the replica are in use")

// reserve counts a connection before it is opened, if there may be one more.
func (p *Pool) reserve(id routing.Incarnation, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.count[id] >= limit {
		return false
	}
	p.count[id]++
	return true
}

func (p *Pool) release(id routing.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(id)
}

func (p *Pool) releaseLocked(id routing.Incarnation) {
	if p.count[id]--; p.count[id] <= 0 {
		delete(p.count, id)
	}
}

func (p *Pool) take(id routing.Incarnation, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	if now.Sub(c.idleSince) > c.maxIdle {
		// All that were idle for longer are too old as well.
		for _, old := range p.idle[id] {
			p.closeLocked(old)
		}
		p.closeLocked(c)
		delete(p.idle, id)
		return nil
	}
	return c
}

// put gives back a connection whose answer was whole.
func (p *Pool) put(c *conn, now time.Time) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.replica]) >= idlePerReplica {
		p.closeLocked(c)
		return
	}
	p.idle[c.replica] = append(p.idle[c.replica], c)
}

// discard closes a connection that can't be used again.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *conn) {
	_ = c.Close()
	p.releaseLocked(c.replica)
}

// Sweep closes connections that were idle for too long, or to replicas that are not wanted.
func (p *Pool) Sweep(wanted func(routing.Incarnation) bool, now time.Time) {
	p.checks.forget(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(id) && now.Sub(c.idleSince) <= c.maxIdle {
				kept = append(kept, c)
				continue
			}
			p.closeLocked(c)
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// OpenSince returns when the oldest idle connection to a replica was opened that is still open; false
// if there is none.
func (p *Pool) OpenSince(id routing.Incarnation) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest time.Time
	for _, c := range p.idle[id] {
		if (oldest.IsZero() || c.opened.Before(oldest)) && c.clean() {
			oldest = c.opened
		}
	}
	return oldest, !oldest.IsZero()
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}
