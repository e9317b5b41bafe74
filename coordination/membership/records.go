// This file keeps the records that a daemon made at their holders, while holders start, shut down and end.
//
// Inputs: the records of this daemon, to which processes it sent each, and the roster. The rules:
//
//  1. A record is sent to each holder that it was not sent to: to the present ones at once, and to those
//     that become holders later. A holder that has started again has lost it, and gets it again.
//  2. A record is kept so until its time has passed or it is removed. Holders keep it for longer by themselves.
//
// The daemon that made a record does this, and not the holders that shut down: it knows which of its
// records are still of use, and does it also for holders that were killed.

package membership

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// Records are the records that a daemon made and keeps at their holders, R each. It is not safe for
// concurrent use. The zero value has no records.
type Records[R any] struct {
	kept map[uint64]*keptRecord[R]
	// seen is the state of the roster for which the records were last compared with their holders.
	seen rosterState
}

type keptRecord[R any] struct {
	record R
	until  time.Time
	// sent has the processes that the record was sent to.
	sent map[Address]Incarnation
}

// Unsent are the records that a holder lacks.
type Unsent[R any] struct {
	Holder  Address
	Records []R
}

// Len returns the number of records.
func (k *Records[R]) Len() int { return len(k.kept) }

// Add keeps a record until a time, in place of a former one of the key. It returns the other daemons to send it to.
func (k *Records[R]) Add(key uint64, record R, until time.Time, r *Roster, now time.Time) []Address {
	kept := &keptRecord[R]{record: record, until: until, sent: make(map[Address]Incarnation)}
	if k.kept == nil {
		k.kept = make(map[uint64]*keptRecord[R])
	}
	k.kept[key] = kept
	return kept.takeUnsent(r.Holders(key, now), r)
}

// Remove ends the keeping of a record.
func (k *Records[R]) Remove(key uint64) { delete(k.kept, key) }

// TakeUnsent returns the records that holders lack since the roster has changed, and counts them as sent. It drops those
// whose time has passed.
func (k *Records[R]) TakeUnsent(r *Roster, now time.Time) []Unsent[R] {
	if len(k.kept) == 0 {
		return nil
	}
	var live *liveSet // nil: the roster has not changed
	if state := r.state(now); state != k.seen {
		k.seen, live = state, r.liveSet(now)
	}
	unsent := make(map[Address][]R)
	for key, kept := range k.kept {
		if now.After(kept.until) {
			delete(k.kept, key)
			continue
		}
		if live == nil {
			continue
		}
		for _, a := range kept.takeUnsent(live.holders(key), r) {
			unsent[a] = append(unsent[a], kept.record)
		}
	}
	var out []Unsent[R]
	for a, records := range unsent {
		out = append(out, Unsent[R]{Holder: a, Records: records})
	}
	return out
}

// takeUnsent returns the holders that the record was not sent to, and counts it as sent.
func (kept *keptRecord[R]) takeUnsent(holders []Address, r *Roster) []Address {
	var out []Address
	for _, a := range holders {
		e := r.members[a]
		if e == nil { // this daemon
			continue
		}
		if sentTo, ok := kept.sent[a]; ok && sentTo == e.Incarnation {
			continue
		}
		kept.sent[a] = e.Incarnation
		out = append(out, a)
	}
	return out
}

// rosterState is a hash of what holders depend on.
type rosterState uint64

// state returns the roster's present state.
func (r *Roster) state(now time.Time) rosterState {
	sum := rosterState(1)
	for _, e := range r.ordered {
		if !r.isLive(e, now) {
			continue
		}
		member := coordination.Hash(string(e.Address)) ^ uint64(e.Incarnation)
		if e.Leaving {
			member = ^member
		}
		sum += rosterState(coordination.Scramble(member))
	}
	return sum
}
