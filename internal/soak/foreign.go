// This file plays another writer among the replicas' entries: it overwrites good ones for a
// while, and writes some that look like a replica's and lead to a trap. What fails to name a
// replica must not be used (ENTRY, DRAIN), and the others must go on.

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"time"
)

// shortestForeign is added to the length of a fault, so that most last longer than the time
// after which requests to a replica without an entry are judged.
const shortestForeign = 2 * time.Second

// drawForeign adds the faults of another writer, with draws of their own.
func (p *Plan) drawForeign(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for range int(math.Ceil(s.ForeignPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = foreignEntries
		f.For += shortestForeign
		p.Faults = append(p.Faults, f)
	}
}

// foreignEntry returns an entry that names no replica, though it gives a service and an
// address.
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

// writeForeign writes entries that lead to the trap, and overwrites that of a replica for a
// while.
func (s *injector) writeForeign(f *Fault) {
	p, r := s.at(f.Target)
	for i := range 3 {
		key := fmt.Sprintf("foreign-%d-%d", f.Target, i)
		s.store.PutEntry(key, foreignEntry(f.Variant+i, r.Service, s.trap.address()))
		defer s.store.DeleteReplica(key)
	}
	s.mu.Lock()
	delete(s.entries, r.ID)
	s.store.PutEntry(r.ID, foreignEntry(f.Variant/8, r.Service, p.link.Address()))
	s.mu.Unlock()
	s.ledger.Departed(r.ID, time.Now())
	pause(s.ctx, f.For)
	s.mu.Lock()
	serves := p.current == r && !p.idle
	s.mu.Unlock()
	if serves {
		s.announce(p, r, false)
	}
}

// trap is an address that no entry of a replica names.
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

// Trapped notes a connection to an address that only entries name which name no replica.
func (l *Ledger) Trapped(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminations = append(l.terminations, Violation{Promise: "ENTRY", Subject: "trap", At: at, Detail: "a daemon connected to an address that only unusable entries name"})
}
