// This file records when links to replicas delivered responses to daemons, and when daemons closed their
// connections: a daemon can't know what a replica said on a connection that was closed before.

package soak

import (
	"sync"
	"time"
)

// readTime is how long a connection must stay open after a response was delivered for the daemon to have
// read it. A daemon that cancels a request closes the connection without reading what has just arrived.
const readTime = 50 * time.Millisecond

// deliveries records what links to replicas delivered, by the name of a link's connection to its
// replica. It is safe for concurrent use.
type deliveries struct {
	mu    sync.Mutex
	conns map[string][]*delivery
}

// delivery is the record of one connection through a link.
type delivery struct {
	opened    time.Time
	source    string // IP address from which the daemon opened it
	delivered []deliveredBytes
	closed    time.Time // when the daemon closed its side; zero: not yet
	reset     time.Time // when a fault of the run reset it; zero: none did
	ended     time.Time // when the link passed on that the replica ended it in an ordinary way; zero: it did not
}

// deliveredBytes are bytes of a replica that were written to the daemon's side.
type deliveredBytes struct {
	at    time.Time
	bytes int
}

// connRecord is what a link knows of a connection at a time.
type connRecord struct {
	source    string    // IP address from which the daemon opened it
	delivered time.Time // when bytes of the replica last reached the daemon's side; zero: none did
	closed    time.Time // when the daemon closed its side; zero: not yet
	reset     time.Time // when a fault of the run reset it; zero: none did
	ended     time.Time // when the link passed on that the replica ended it in an ordinary way; zero: it did not
	// deliveries are all those of the connection, also after the time.
	deliveries []deliveredBytes
}

// bytesBetween returns how many bytes of the replica reached the daemon's side from one time until another.
func (c *connRecord) bytesBetween(from, to time.Time) int {
	sum := 0
	for _, d := range c.deliveries {
		if !d.at.Before(from) && !d.at.After(to) {
			sum += d.bytes
		}
	}
	return sum
}

// connName names a connection by its two addresses. Connections to several replicas may have one source port at a time.
func connName(from, to string) string { return from + ">" + to }

// open records a new connection from a daemon's IP address. It accepts a nil receiver, and then returns nil.
func (d *deliveries) open(conn, source string, now time.Time) *delivery {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[string][]*delivery)
	}
	c := &delivery{opened: now, source: source}
	d.conns[conn] = append(d.conns[conn], c)
	return c
}

// recordDelivery records that bytes were written to the daemon's side. It accepts a nil receiver and a nil
// connection.
func (d *deliveries) recordDelivery(c *delivery, bytes int, now time.Time) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c.delivered = append(c.delivered, deliveredBytes{now, bytes})
}

// recordClose records that the daemon closed its side. It accepts a nil receiver and a nil connection.
func (d *deliveries) recordClose(c *delivery, now time.Time) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closed.IsZero() {
		c.closed = now
	}
}

// recordReset records that a fault of the run is about to reset the connection. It accepts a nil receiver and a nil
// connection.
func (d *deliveries) recordReset(c *delivery, now time.Time) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.reset.IsZero() {
		c.reset = now
	}
}

// recordEnd records that the link is about to pass on that the replica ended the connection in an ordinary way. It accepts a
// nil receiver and a nil connection.
func (d *deliveries) recordEnd(c *delivery, now time.Time) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.ended.IsZero() {
		c.ended = now
	}
}

// find returns the last connection of a name that was opened until a time, or nil. The caller must hold d.mu.
func (d *deliveries) find(conn string, at time.Time) *delivery {
	var c *delivery
	for _, other := range d.conns[conn] {
		if !other.opened.After(at) {
			c = other
		}
	}
	return c
}

// connection returns the record of the connection of a name that was open at a time, as it was then.
func (d *deliveries) connection(conn string, at time.Time) (connRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.find(conn, at)
	if c == nil {
		return connRecord{}, false
	}
	record := connRecord{source: c.source, closed: c.closed, reset: c.reset, ended: c.ended, deliveries: c.delivered}
	for _, t := range c.delivered {
		if !t.at.After(at) {
			record.delivered = t.at
		}
	}
	return record, true
}

// read reports whether a daemon must have read what a replica wrote at a time on the connection of a
// name, and describes what became of it.
func (d *deliveries) read(conn string, at time.Time) (read bool, what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.find(conn, at)
	if c == nil {
		return true, "connection is not known"
	}
	arrived := c.firstDelivery(at)
	switch {
	case arrived.IsZero() && c.closed.IsZero():
		return false, "the link never delivered it"
	case arrived.IsZero():
		return false, "the daemon closed the connection " + describeDelay(at, c.closed)
	case !c.closed.IsZero() && c.closed.Before(arrived.Add(readTime)):
		return false, "the link delivered it " + describeDelay(at, arrived) + ", the daemon closed the connection " + describeDelay(at, c.closed)
	}
	return true, "the link delivered it " + describeDelay(at, arrived)
}

// firstDelivery returns the first time at or after the given one at which bytes were delivered, or zero.
func (c *delivery) firstDelivery(at time.Time) time.Time {
	for _, t := range c.delivered {
		if !t.at.Before(at) {
			return t.at
		}
	}
	return time.Time{}
}

// describeDelay describes a time relative to that of a response.
func describeDelay(of, t time.Time) string {
	if d := t.Sub(of).Round(time.Millisecond); d >= 0 {
		return d.String() + " after the replica sent it"
	}
	return of.Sub(t).Round(time.Millisecond).String() + " before the replica sent it"
}
