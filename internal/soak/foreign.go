// This file simulates a foreign writer among the replicas' entries: it temporarily overwrites
// valid entries, and writes invalid ones with the address of a trap. Daemons must not use
// entries that don't describe a replica (ENTRY, DRAIN), and must keep using the others.

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"time"
)

// minForeign is added to the duration of a fault, so that most last longer than the time
// after which requests to a replica without an entry are violations.
const minForeign = 2 * time.Second

// drawForeign adds the faults of the foreign writer. They come from a random source of their
// own, so that the other faults of a seed don't depend on them.
func (p *Plan) drawForeign(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for range int(math.Ceil(s.ForeignPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = foreignEntries
		f.For += minForeign
		p.Faults = append(p.Faults, f)
	}
}

// foreignEntry returns an entry that doesn't describe a replica. All variants but the first
// have a service and an address nevertheless.
func foreignEntry(variant int, service, address string) []byte {
	const good = `"service":%q,"address":%q,"zone":"z0","slots":%s,"state":%s%s`
	text := func(slots, state, more string) []byte {
		return []byte("{" + fmt.Sprintf(good, service, address, slots, state, more) + "}")
	}
	switch variant % 8 {
	case 0:
		return []byte("\x00\xff not an entry")
	case 1:
		return text("6", `"resting"`, "")
	case 2:
		return text("-1", `"ready"`, "")
	case 3:
		return text(`"6"`, `"ready"`, "")
	case 4:
		return text("6", `"ready"`, `,"born":1.5`)
	case 5:
		return []byte(fmt.Sprintf(`{"service":%q,"address":%q}`, service, address))
	case 6:
		return text("6", `"ready"`, `,"cold_remaining_ms":"long"`)
	}
	return text("6", "null", "")
}

// writeForeign writes entries with the address of the trap, and overwrites the entry of a
// replica, both for the duration of the fault.
func (s *injector) writeForeign(f *Fault) {
	p, r := s.pickPlace(f.Target)
	for i := range 3 {
		key := fmt.Sprintf("foreign-%d-%d", f.Target, i)
		defer s.store.DeleteReplica(s.put(newForeign(f, i, key, r.Service, s.trap.address())))
	}
	s.mu.Lock()
	delete(s.entries, r.ID)
	s.put(overForeign(f, r.ID, r.Service, p.link.Address()))
	s.mu.Unlock()
	s.ledger.Departed(r.ID, time.Now())
	pause(s.ctx, f.For)
	s.mu.Lock()
	serves := p.current == r && !p.idle
	s.mu.Unlock()
	if serves {
		s.writeEntry(p, r, false)
	}
}

// newForeign returns an entry of the foreign writer under a new key.
func newForeign(f *Fault, i int, key, service, address string) oddEntry {
	if f.Kind == oddEntries {
		return newOddEntry(f.Variant+i, key, service, address)
	}
	return oddEntry{key: key, value: string(foreignEntry(f.Variant+i, service, address))}
}

// overForeign returns an entry that the foreign writer writes over a replica's.
func overForeign(f *Fault, key, service, address string) oddEntry {
	if f.Kind == oddEntries {
		return oddValue(f.Variant, key, service, address)
	}
	return oddEntry{key: key, value: string(foreignEntry(f.Variant/8, service, address))}
}

// trap is a listener whose address stands only in invalid entries.
type trap struct {
	listener net.Listener
	ledger   *Ledger
}

func openTrap(l *Ledger) (*trap, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &trap{listener: listener, ledger: l}
	go t.accept()
	return t, nil
}

func (t *trap) address() string { return t.listener.Addr().String() }

func (t *trap) close() { _ = t.listener.Close() }

func (t *trap) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.ledger.Trapped(time.Now())
		_ = c.Close()
	}
}

// Trapped records a connection to the trap.
func (l *Ledger) Trapped(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminations = append(l.terminations, Violation{Promise: "ENTRY", Subject: "trap", At: at, Detail: "a daemon connected to an address that stands only in invalid entries"})
}
