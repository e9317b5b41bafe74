// This file implements the pool of connections to replicas. Connections are pooled by the
// incarnation of a replica and not by address, because addresses are reused by other services,
// and because a connection to a former incarnation is dead.

package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/tunnel"
)

const (
	readBufferBytes = 4 << 10 // holds a header and some events
	// idleTimeoutFraction is the fraction of the replica's idle timeout for which a connection is
	// kept, so that it is not reused at the moment the replica closes it.
	// A fraction of 0.9 serves callers equally well.
	idleTimeoutFraction = 0.7
	// defaultIdleTimeout is the idle timeout for replicas that state none.
	defaultIdleTimeout = 20 * time.Second
	// peerDialTimeout bounds connecting to another daemon. Links within a region take milliseconds.
	peerDialTimeout = 200 * time.Millisecond
	// linkCheckTime is how long a link has to reset a new connection that it accepted. It delays retries after a
	// broken connection, and connections for other daemons.
	linkCheckTime = 5 * time.Millisecond
	// maxIdlePerReplica is the maximum number of idle connections to one replica.
	maxIdlePerReplica = 32
)

// conn is a connection to a replica.
type conn struct {
	net.Conn
	reader  *transport.ResponseReader
	replica routing.Incarnation
	service routing.ServiceName
	reused  bool
	opened  time.Time
	via     routing.PeerID     // daemon that opened it for this one; empty: this daemon's own
	framed  *tunnel.FramedConn // the connection, if that daemon marks its end; nil: it does not, or there is none
	// idleTimeout is how long it may be idle; negative: it must not be reused.
	idleTimeout time.Duration
	idleSince   time.Time
}

// isReusable reports whether an idle connection is still open and has no unread bytes, which
// would belong to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 || c.framed != nil && c.framed.IsInsideFrame() {
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

// breaksWithin reports whether a connection on which nothing was sent breaks, or brings bytes, within a time.
func breaksWithin(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(clock.RuntimeTime(clock.Now().Add(d))) // on failure, the read fails too
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{}) // on failure, the next read fails
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Pool keeps idle connections to replicas and counts the open ones. It is safe for concurrent use.
type Pool struct {
	dialer      net.Dialer // to replicas
	peerDialer  net.Dialer // to other daemons
	dialTimes   routing.DialTimes
	linkDoubts  routing.BrokenLinks
	restarts    routing.SuspectedRestarts
	crashChecks crashChecks
	reach       *routing.Reach
	activity    streamActivity
	detours     *Detours      // nil: there are none
	probeWait   time.Duration // routing.ProbeWait

	mu        sync.Mutex
	idle      map[routing.Incarnation][]*conn
	openCount map[routing.Incarnation]int // open connections, and those that are being opened
	open      map[routing.Incarnation]map[*conn]struct{}
}

// NewPool returns an empty pool. Its connections are opened from the source address; if that is nil,
// the operating system chooses one.
func NewPool(source net.IP) *Pool {
	dialer := net.Dialer{KeepAlive: -1}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &Pool{
		dialer: dialer, peerDialer: net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1},
		reach:     routing.NewReach(),
		probeWait: routing.ProbeWait,
		idle:      make(map[routing.Incarnation][]*conn),
		openCount: make(map[routing.Incarnation]int),
		open:      make(map[routing.Incarnation]map[*conn]struct{}),
	}
}

// Begin records that the daemon has just started. It must be called before the pool is used.
func (p *Pool) Begin(now time.Time) { p.restarts.Begin(now) }

// Reach returns the record of whether this daemon's own links to replicas work.
func (p *Pool) Reach() *routing.Reach { return p.reach }

// get returns a connection to a replica: the most recently used idle one, or else a new
// one. The most recently used is the least likely to have been closed by the replica, and
// the others time out, so that the number of connections follows the demand.
// The view limits the connections that are open to a replica at a time.
func (p *Pool) get(ctx context.Context, r *routing.Replica, v *routing.View, now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(r.Incarnation(), now)
		if c == nil {
			break
		}
		if p.mayReuse(c, r) {
			c.reused = true
			return c, nil
		}
		p.suspectIfEnded(c, now)
		p.discard(c)
	}
	if !p.reserve(r.Incarnation(), v.ConnectionLimit(r.Service)) {
		return nil, errConnectionLimit
	}
	return p.openNew(ctx, r, v, false)
}

// getNew returns a new connection to a replica, of which it has checked that the link does not reset it at once. It is
// for a call whose connection to another replica broke: if this daemon's links broke, so did its idle connections. It
// returns an idle one if the limit is reached.
func (p *Pool) getNew(ctx context.Context, r *routing.Replica, v *routing.View, now time.Time) (*conn, error) {
	if !p.reserve(r.Incarnation(), v.ConnectionLimit(r.Service)) {
		return p.get(ctx, r, v, now)
	}
	p.suspectIfIdleEnded(r.Incarnation(), now)
	return p.openNew(ctx, r, v, true)
}

// mayReuse reports whether an idle connection to a replica may be used.
func (p *Pool) mayReuse(c *conn, r *routing.Replica) bool {
	if c.via != "" {
		return p.mayReuseDetour(c) && c.isReusable()
	}
	return p.reach.MayReuse(r.Service, c.idleSince) && p.linkDoubts.MayReuse(r.Domain, c.idleSince) && c.isReusable()
}

// openNew opens a connection that was counted by reserve. If checkLink is set, one that the link resets at once is a failure.
func (p *Pool) openNew(ctx context.Context, r *routing.Replica, v *routing.View, checkLink bool) (*conn, error) {
	return p.openReserved(r, func() (*conn, error) { return p.connect(ctx, r, v, checkLink) })
}

// SuspectRestart records that another daemon saw a sign, at a time, that a replica may have terminated.
func (p *Pool) SuspectRestart(i routing.Incarnation, at time.Time) { p.restarts.Suspect(i, at) }

// suspectIfEnded records that a replica may have terminated if it has ended an idle connection. The pool closes idle ones before
// the replica does.
func (p *Pool) suspectIfEnded(c *conn, now time.Time) {
	if state := c.state(); state == connEnded || state == connReset {
		p.restarts.Suspect(c.replica, now)
	}
}

// suspectIfIdleEnded is suspectIfEnded for the most recently used idle connection to a replica.
func (p *Pool) suspectIfIdleEnded(id routing.Incarnation, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[id]; len(list) > 0 {
		p.suspectIfEnded(list[len(list)-1], now)
	}
}

// openReserved opens a connection that was counted by reserve, and uncounts it on failure and after a panic.
func (p *Pool) openReserved(r *routing.Replica, open func() (*conn, error)) (*conn, error) {
	var c *conn
	defer func() {
		if c == nil {
			p.release(r.Incarnation())
		}
	}()
	opened, err := open()
	if err != nil {
		if isRefused(err) {
			p.restarts.Suspect(r.Incarnation(), clock.Now())
		}
		return nil, err
	}
	c = opened
	p.addOpen(c)
	return c, nil
}

// addOpen adds a connection to the open ones.
func (p *Pool) addOpen(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.open[c.replica]
	if conns == nil {
		conns = make(map[*conn]struct{})
		p.open[c.replica] = conns
	}
	conns[c] = struct{}{}
}

// newConn returns a connection to a replica. via is the daemon that opened it, or empty.
func newConn(raw net.Conn, reader *transport.ResponseReader, r *routing.Replica, via routing.PeerID) *conn {
	framed, _ := raw.(*tunnel.FramedConn)
	return &conn{framed: framed, Conn: raw, reader: reader, replica: r.Incarnation(), service: r.Service, opened: clock.Now(), via: via, idleTimeout: defaultIdleTimeout}
}

// dial opens a TCP connection, with a timeout that adapts to the duration of earlier dials.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := p.dialer
	dialer.Timeout = p.dialTimes.Timeout()
	started := clock.Now()
	raw, err := transport.Dial(ctx, dialer, address)
	if err == nil {
		// It can take longer if the process was paused, which says nothing of other dials.
		p.dialTimes.Observe(min(clock.Since(started), dialer.Timeout))
	}
	return raw, err
}

// errConnectionLimit means that this daemon has reached its share of a replica's connections.
var errConnectionLimit = errors.New("all connections that this daemon may open to the replica are in use")

// reserve counts a connection that is about to be opened. It returns false if the limit is
// reached.
func (p *Pool) reserve(id routing.Incarnation, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.openCount[id] >= limit {
		return false
	}
	p.openCount[id]++
	return true
}

func (p *Pool) release(id routing.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(id)
}

func (p *Pool) releaseLocked(id routing.Incarnation) {
	if p.openCount[id]--; p.openCount[id] <= 0 {
		delete(p.openCount, id)
	}
}

func (p *Pool) takeIdle(id routing.Incarnation, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	if now.Sub(c.idleSince) > c.idleTimeout {
		p.suspectIfEnded(c, now)
		// The others have been idle for longer.
		for _, old := range p.idle[id] {
			p.closeLocked(old)
		}
		p.closeLocked(c)
		delete(p.idle, id)
		return nil
	}
	return c
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(c *conn, now time.Time) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.replica]) >= maxIdlePerReplica || c.via != "" && !p.mayReuseDetour(c) {
		p.closeLocked(c)
		return
	}
	p.idle[c.replica] = append(p.idle[c.replica], c)
}

// discard closes a connection that can't be reused.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *conn) {
	_ = c.Close()
	if delete(p.open[c.replica], c); len(p.open[c.replica]) == 0 {
		delete(p.open, c.replica)
	}
	p.releaseLocked(c.replica)
	if c.via != "" {
		p.detours.Carriers.Closed(c.via)
	}
}

// Sweep closes idle connections that have timed out, whose replica is not wanted, or which go through
// another daemon without need.
func (p *Pool) Sweep(wanted func(routing.Incarnation) bool, now time.Time) {
	p.crashChecks.removeExpired(now)
	p.closeIdle(func(c *conn) bool {
		return !wanted(c.replica) || now.Sub(c.idleSince) > c.idleTimeout || c.via != "" && !p.mayReuseDetour(c)
	})
	p.restarts.Forget(wanted)
}

// closeIdle closes the idle connections that meet a condition.
func (p *Pool) closeIdle(condition func(c *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if condition(c) {
				p.suspectIfEnded(c, clock.Now())
				p.closeLocked(c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// OldestOpenConn returns the time at which the oldest idle connection of this daemon's own to a replica
// that is still open was opened. It returns false if there is none.
func (p *Pool) OldestOpenConn(id routing.Incarnation) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest time.Time
	for _, c := range p.idle[id] {
		if c.via == "" && (oldest.IsZero() || c.opened.Before(oldest)) && c.isReusable() {
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
