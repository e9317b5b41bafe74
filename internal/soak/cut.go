// This file cuts daemons off from the others. Several cuts may be in force at a time, and the end of one leaves the others.

package soak

import (
	"slices"
	"sync"
	"time"
)

// cutOff cuts the daemons inside off from the others, in both directions or in one.
type cutOff struct {
	inside            map[string]bool // by IP address
	inbound, outbound bool            // datagrams to and from the daemons inside are dropped
}

// cuts holds the cuts in force. It is safe for concurrent use.
type cuts struct {
	mu      sync.Mutex
	current []*cutOff
}

func (c *cuts) begin(o *cutOff) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = append(c.current, o)
}

func (c *cuts) end(o *cutOff) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = slices.DeleteFunc(c.current, func(p *cutOff) bool { return p == o })
}

// blocks reports whether datagrams from one daemon to another are dropped.
func (c *cuts) blocks(from, to string) bool {
	return c.has(func(o *cutOff) bool {
		return o.inside[to] && o.inbound && !o.inside[from] || !o.inside[to] && o.outbound && o.inside[from]
	})
}

// contains reports whether a daemon is inside a cut.
func (c *cuts) contains(ip string) bool {
	return c.has(func(o *cutOff) bool { return o.inside[ip] })
}

func (c *cuts) has(match func(*cutOff) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.current, match)
}

// cut cuts one daemon or the daemons of a domain off from the others, in both directions or in one, depending on the
// variant.
func (s *injector) cut(f *Fault) {
	var inside []*daemon
	domain := s.domains[f.Target%len(s.domains)]
	for _, d := range s.fleet.daemons {
		if (f.Kind == cutDomain && d.domain == domain) || (f.Kind == cutDaemon && d == s.daemon(f)) {
			inside = append(inside, d)
		}
	}
	o := &cutOff{inside: make(map[string]bool), inbound: f.Variant%cutVariants != cutOutbound, outbound: f.Variant%cutVariants != cutInbound}
	for _, d := range inside {
		o.inside[d.ip] = true
		s.ledger.FellOutOfStep(d.number, time.Now(), time.Now().Add(f.For))
	}
	s.disturb(inside, func() {
		s.cuts.begin(o)
		s.applyCuts()
		pause(s.ctx, f.For)
		s.cuts.end(o)
		s.applyCuts()
	})
}

// applyCuts lets the links between the daemons follow the cuts in force. Syncs are held up at the daemons inside.
func (s *injector) applyCuts() {
	for _, d := range s.fleet.daemons {
		d.peers.block(func(from string) bool { return s.cuts.blocks(from, d.ip) }, s.cuts.contains(d.ip))
	}
}
