package relay

import (
	"syscall"
	"time"
)

// SetDialControl sets a function that is called with each new socket of a connection to a replica.
func (p *Pool) SetDialControl(f func(network, address string, c syscall.RawConn) error) {
	p.dialer.Control = f
}

// SetProbeWait sets how long a request waits for the first probes, so that a test does not depend on how
// busy the machine is.
func (p *Pool) SetProbeWait(d time.Duration) { p.probeWait = d }

// OpenConns returns the number of open connections that are counted, idle or in use.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, count := range p.openCount {
		n += count
	}
	return n
}
