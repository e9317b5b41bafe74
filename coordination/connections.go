// This file decides which connections of clients a listener keeps. Clients may open many, send heads of requests slowly or
// never end them, and none of this is a request that could be refused.
//
// The inputs are how many connections the listener may have, the room for heads of requests in bytes, and when each connection
// was opened, brought bytes of a head, had its head and its body read, and ended its request. The rules:
//
//  1. A head takes memory as it arrives, headByteCost for each byte and headLineCost for each line, until its request has ended.
//     What an ordinary head has costs nothing: freeHeadBytes, which the connection's buffer holds, in freeHeadLines.
//  2. If the connections are all taken, or the room is, those give way that have sent no whole request: first those whose head has
//     been incomplete for requestSlow, then those that are idle or have sent nothing, then those whose body has been incomplete for
//     as long, then the others, each the longest first. For the room only those that take some are of use.
//  3. If none gives way, a new connection is closed, and so is one whose head does not fit. What takes smallHead at most fits
//     while all such heads take less than smallHeadShare of the room: ordinary requests are served while large heads have the rest.

package coordination

import (
	"cmp"
	"sync"
	"time"
)

const (
	// headByteCost is how many bytes of memory a byte of a head takes while lines grow and are copied, and headLineCost how many a line
	// takes as a header field, most of them in a map.
	headByteCost = 2
	headLineCost = 128
	// freeHeadBytes is the size of the buffer that net/http has for each connection.
	freeHeadBytes = 4 << 10
	freeHeadLines = 64
	// smallHead is the cost up to which a head is small: some 8 KB in 50 lines. Nearly all are.
	smallHead      = 32 << 10
	smallHeadShare = 1.0 / 4
	// requestSlow is longer than the rest of an ordinary request takes to arrive, even if a packet was lost and sent again.
	requestSlow = time.Second
)

// connState is what a connection does.
type connState int

const (
	connIdle    connState = iota // it has sent nothing since it was opened, or since its last request
	connHead                     // a head is arriving
	connBody                     // a body is arriving
	connServing                  // a whole request is being served
)

// ClientConn is a client's connection.
type ClientConn struct {
	// Close closes the connection, which has given way. It must not block.
	Close func()

	state connState
	since time.Time // in this state
	cost  int64     // of its head
	gone  bool      // it has ended, or given way
	// bytes and lines are those of the head that have arrived.
	bytes, lines int
}

// ConnRoom is the room for the connections of a listener. It is safe for concurrent use.
type ConnRoom struct {
	// Dropped is called for each connection that is closed to make room, or since there is none; nil: not needed. It must not block.
	Dropped func()

	maxConns int
	heads    int64 // room for heads

	mu           sync.Mutex
	conns        map[*ClientConn]struct{}
	small, large int64 // costs of heads
}

// NewConnRoom returns the room for a number of connections, and for heads of a number of bytes in all.
func NewConnRoom(maxConns int, headBytes int64) *ConnRoom {
	return &ConnRoom{maxConns: max(1, maxConns), heads: headBytes, conns: make(map[*ClientConn]struct{})}
}

// Open takes a place for a new connection. It returns false if there is none; the connection must then be closed.
func (r *ConnRoom) Open(c *ClientConn, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) >= r.maxConns {
		victim := r.next(now, func(*ClientConn) bool { return true })
		if victim == nil {
			c.gone = true
			r.report()
			return false
		}
		r.drop(victim)
	}
	c.state, c.since = connIdle, now
	r.conns[c] = struct{}{}
	return true
}

// Arrived records bytes that arrived on a connection while no request of it was served, and the lines that end in them. It returns
// false if the connection has given way.
func (r *ConnRoom) Arrived(c *ClientConn, bytes, lines int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.gone || c.state >= connBody {
		return !c.gone
	}
	if c.state == connIdle {
		c.state, c.since = connHead, now
	}
	c.bytes += bytes
	c.lines += lines
	cost := headCost(c.bytes, c.lines)
	for cost > c.cost && !r.fits(c, cost) {
		victim := r.next(now, func(v *ClientConn) bool { return v.cost > 0 })
		if victim == nil {
			victim = c
		}
		r.drop(victim)
		if victim == c {
			return false
		}
	}
	r.charge(c, cost)
	return true
}

// headCost returns what a head takes by rule 1.
func headCost(bytes, lines int) int64 {
	return int64(headByteCost*max(0, bytes-freeHeadBytes) + headLineCost*max(0, lines-freeHeadLines))
}

// BeginBody records that the head of a request is whole, and its body is read.
func (r *ConnRoom) BeginBody(c *ClientConn, now time.Time) { r.enter(c, connBody, now) }

// Begin records that a whole request of a connection is being served.
func (r *ConnRoom) Begin(c *ClientConn, now time.Time) { r.enter(c, connServing, now) }

// End records that the response to a request was written, and that the connection is kept.
func (r *ConnRoom) End(c *ClientConn, now time.Time) { r.enter(c, connIdle, now) }

// Closed gives back what a connection takes, once it has ended.
func (r *ConnRoom) Closed(c *ClientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(c)
}

func (r *ConnRoom) enter(c *ClientConn, s connState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state, c.since = s, now
	if s == connIdle {
		r.charge(c, 0)
		c.bytes, c.lines = 0, 0
	}
}

// fits reports whether a head of a cost fits by rule 3 in place of what the connection has taken.
func (r *ConnRoom) fits(c *ClientConn, cost int64) bool {
	r.count(c.cost, -1)
	small, large := r.small, r.large
	r.count(c.cost, 1)
	left := int64(smallHeadShare * float64(r.heads))
	if isSmallHead(cost) {
		return small+large+cost <= r.heads || small+cost <= left
	}
	return small+large+cost <= r.heads && large+cost <= r.heads-left
}

func isSmallHead(cost int64) bool { return cost <= smallHead }

// charge sets the cost of a connection's head.
func (r *ConnRoom) charge(c *ClientConn, cost int64) {
	r.count(c.cost, -1)
	r.count(cost, 1)
	c.cost = cost
}

// count adds the cost of a head, times a sign, to the sum of its kind.
func (r *ConnRoom) count(cost, sign int64) {
	if isSmallHead(cost) {
		r.small += sign * cost
	} else {
		r.large += sign * cost
	}
}

// next returns the connection that gives way next by rule 2 among those that are of use; nil: none.
func (r *ConnRoom) next(now time.Time, isOfUse func(*ClientConn) bool) *ClientConn {
	var best *ClientConn
	for c := range r.conns {
		if c.state != connServing && isOfUse(c) && (best == nil || compareVictims(c, best, now) < 0) {
			best = c
		}
	}
	return best
}

// compareVictims orders connections by rule 2.
func compareVictims(a, b *ClientConn, now time.Time) int {
	return cmp.Or(cmp.Compare(a.order(now), b.order(now)), a.since.Compare(b.since))
}

// victimClass is a class of connections that give way, in the order in which they do.
type victimClass int

const (
	slowHead victimClass = iota
	idleConn
	slowBody
	freshRequest
)

// order returns the connection's class.
func (c *ClientConn) order(now time.Time) victimClass {
	isSlow := now.Sub(c.since) >= requestSlow
	switch {
	case c.state == connHead && isSlow:
		return slowHead
	case c.state == connIdle:
		return idleConn
	case c.state == connBody && isSlow:
		return slowBody
	}
	return freshRequest
}

// drop closes a connection that gives way.
func (r *ConnRoom) drop(c *ClientConn) {
	r.remove(c)
	c.Close()
	r.report()
}

func (r *ConnRoom) report() {
	if r.Dropped != nil {
		r.Dropped()
	}
}

func (r *ConnRoom) remove(c *ClientConn) {
	if c.gone {
		return
	}
	r.charge(c, 0)
	c.gone = true
	delete(r.conns, c)
}
