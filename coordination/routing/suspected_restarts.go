// This file decides whether a connection leads to the start of a replica that its entry names. A replica that starts again under
// its id may run another software version, and accepts requests meant for its former start while a daemon has only the former
// entry.
//
// Inputs: when a connection to a replica broke, was refused, or was found closed; the reports of other daemons that a replica
// crashed, was silent or accepted no connection; when a connection was opened; the latest time at which a read of the store has
// shown the documents to be complete; and the entries. The rule:
//
//  1. A start of a replica is suspected to have ended from the time at which a connection to it broke, was refused or was found
//     closed, since no connection outlives its process, or at which another daemon met the like. Until then its connections are
//     known to lead to it. All starts are suspected for terminatedHold after the daemon started: it had no connections, and the
//     reports of others came before.
//  2. While a start is suspected, a connection is known to lead to it once a read of the store, entryTime or more after the
//     connection was opened, has shown that the entry still names it. Until then the connection is in doubt.
//  3. If the entry names another start, whether one was suspected or not, a connection that still works leads to that one: it is
//     known if the software version is the same. If it is not, or the entry of a suspected start was gone at such a read, the
//     connection leads to another start.
//  4. A start is no longer suspected once a connection that was opened after the last sign is known to lead to it. Signs of
//     before that connection was opened, which may be reported later, count no more.
//  5. Nor is it once the replica has responded, on a connection that was opened before the first sign, to a request that was sent
//     after the last one: no connection outlives its process. That such a connection is open proves nothing, as one to a host that lost
//     its power looks open too.
//  6. Only reads of the store count, by any daemon: while none can read it, a replica may be unable to write its entry too.
//     Without one in the last membership.VersionLease none is expected, so that it is not waited for.
//  7. A replica whose entry names no start never starts again under its id.

package routing

import (
	"slices"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

// entryTime bounds the time from when a replica listens until its entry is in the store. It is an assumption. Streams wait
// this much longer for a read of the store after a replica's connections broke.
const entryTime = 100 * time.Millisecond

// ConnectionStart says to which start of a replica a connection leads.
type ConnectionStart int

// The possible results.
const (
	StartKnown   ConnectionStart = iota // the one that the replica's entry names, or a later one at the same software version
	StartInDoubt                        // a read of the store will tell
	StartDiffers                        // another one, whose software version is not known to be the same
)

// SuspectedRestarts records which replicas may have started again. It is safe for concurrent use. The zero value is ready
// to use.
type SuspectedRestarts struct {
	mu        sync.Mutex
	suspected map[Incarnation]restartSigns
	begun     time.Time // when the daemon started; zero: long ago
}

// restartSigns is what is known of one start of a replica.
type restartSigns struct {
	first   time.Time // when the first sign was seen that is not settled
	last    time.Time // when the last sign was seen
	settled time.Time // signs of before this time don't count, by rules 4 and 5; zero: all count
}

// isOpen reports whether a sign counts.
func (s restartSigns) isOpen() bool { return s.last.After(s.settled) }

// Begin records that the daemon has just started. It must be called before the first request.
func (s *SuspectedRestarts) Begin(now time.Time) { s.begun = now }

// Suspect records a sign, seen at a time, that a replica may have terminated.
func (s *SuspectedRestarts) Suspect(i Incarnation, at time.Time) {
	if i.StartTime == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspected == nil {
		s.suspected = make(map[Incarnation]restartSigns)
	}
	signs := s.suspected[i]
	if !signs.isOpen() || at.Before(signs.first) && at.After(signs.settled) {
		signs.first = at
	}
	signs.last = latest(signs.last, at)
	s.suspected[i] = signs
}

// RecordResponse records that a replica responded to a request that was sent at a time, on a connection opened at a time.
func (s *SuspectedRestarts) RecordResponse(i Incarnation, opened, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	signs, ok := s.suspected[i]
	if ok && signs.isOpen() && opened.Before(signs.first) && sent.After(signs.last) {
		signs.settled = sent
		s.suspected[i] = signs
	}
}

// Start returns to which start a connection to a replica leads that was opened at a time and still works. read is the latest
// time at which a read of the store has shown the documents of the view to be complete; zero: none has.
func (s *SuspectedRestarts) Start(v *View, r *Replica, opened, read time.Time) ConnectionStart {
	entry := v.entry(r)
	if entry != nil && entry.Incarnation() != r.Incarnation() {
		if entry.versionKey != r.versionKey {
			return StartDiffers
		}
		return StartKnown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	signs := s.suspected[r.Incarnation()]
	isSuspected := signs.isOpen()
	switch {
	case !isSuspected && (r.StartTime == 0 || s.begun.IsZero() || opened.Sub(s.begun) >= terminatedHold):
		return StartKnown
	case read.Before(opened.Add(entryTime)):
		return StartInDoubt
	case entry == nil:
		return StartDiffers
	}
	if isSuspected {
		signs.settled = latest(signs.settled, opened)
		s.suspected[r.Incarnation()] = signs
	}
	return StartKnown
}

// HasSign reports whether there was a sign that a replica has terminated since a connection was last known to lead to it. Without
// one it is suspected at most because the daemon has just started.
func (s *SuspectedRestarts) HasSign(i Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspected[i].isOpen()
}

// ExpectsRead reports whether a connection that is in doubt will soon be known, by rule 6. read is as for Start.
func ExpectsRead(read, now time.Time) bool {
	return !read.IsZero() && now.Sub(read) < membership.VersionLease
}

// Forget removes the replicas that are not wanted.
func (s *SuspectedRestarts) Forget(wanted func(Incarnation) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.suspected {
		if !wanted(i) {
			delete(s.suspected, i)
		}
	}
}

// entry returns the current entry under a replica's id, or nil.
func (v *View) entry(r *Replica) *Replica {
	pool := v.Pool(r.Service)
	if e := pool.ready(r.Incarnation()); e != nil {
		return e
	}
	for _, list := range [][]Replica{pool.Ready, pool.Draining, pool.Evacuated} {
		if i := slices.IndexFunc(list, func(e Replica) bool { return e.ID == r.ID }); i >= 0 {
			return &list[i]
		}
	}
	return nil
}
