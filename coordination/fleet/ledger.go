// This file defines the ledger in which one incarnation of a daemon records the
// requests that must not run twice. Only the ledger allows such a request to start.

package fleet

import (
	"container/list"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// LedgerKey identifies one request that must not be repeated. It includes workspace
// and service so that keys of different customers can't collide.
type LedgerKey struct {
	Workspace state.WorkspaceID
	Service   state.ServiceID
	Key       string
}

// Fingerprint is a hash of a request's method, path and body. Repeats of a request
// have the same fingerprint.
type Fingerprint [32]byte

// StoredAnswer is the response to a completed request, kept for repeats.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size estimates the memory of a response in bytes.
func (a *StoredAnswer) size() int {
	n := len(a.Body) + entryOverhead
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// entryOverhead is the memory of an entry without its response in bytes, as measured
// by BenchmarkLedgerMemory.
const entryOverhead = 700

// KeyDecision is the ledger's decision on a request: [Start], [Wait], [Replay],
// [Conflict] or [Deny].
type KeyDecision interface{ isKeyDecision() }

// Start allows the request to run. It is returned once per key.
type Start struct{}

// Wait means that the first attempt is still running.
type Wait struct{ First *FirstAttempt }

// FirstAttempt is the attempt that runs a key. Requests waiting for it get its outcome,
// also if it was not run: none of them may run the key in its place, since not-run
// would then have been reported for a key that runs a moment later.
type FirstAttempt struct {
	// Done is closed when the attempt has finished.
	Done chan struct{}
	// Outcome may be read once Done is closed.
	Outcome coordination.Outcome
}

// Replay means that the request has run; Answer is its response.
type Replay struct{ Answer *StoredAnswer }

// Conflict means that the key was used for a different request.
type Conflict struct{}

// Deny refuses the request with an outcome.
type Deny struct{ Outcome coordination.Outcome }

func (Start) isKeyDecision()    {}
func (Wait) isKeyDecision()     {}
func (Replay) isKeyDecision()   {}
func (Conflict) isKeyDecision() {}
func (Deny) isKeyDecision()     {}

var (
	_ KeyDecision = Start{}
	_ KeyDecision = Wait{}
	_ KeyDecision = Replay{}
	_ KeyDecision = Conflict{}
	_ KeyDecision = Deny{}
)

type ledgerEntry struct {
	key         LedgerKey
	fingerprint Fingerprint
	expires     time.Time
	first       *FirstAttempt
	running     bool
	answer      *StoredAnswer // nil while running and if the outcome is unknown
	bytes       int
}

// Ledger records keys before the first byte of their requests is written. It never
// forgets a key before its window has passed: when it is full it refuses new keys. A
// Ledger is not safe for concurrent use.
type Ledger struct {
	entries map[LedgerKey]*list.Element
	order   *list.List // of *ledgerEntry by expiry
	bytes   int
	limit   int
}

// NewLedger returns a ledger that uses at most limit bytes.
func NewLedger(limit int) *Ledger {
	return &Ledger{entries: make(map[LedgerKey]*list.Element), order: list.New(), limit: limit}
}

// Len returns the number of recorded keys.
func (l *Ledger) Len() int { return len(l.entries) }

// Bytes returns the estimated memory in use.
func (l *Ledger) Bytes() int { return l.bytes }

// ledgerFullRetry is the retry delay when the ledger is full. It is short because
// entries expire all the time.
const ledgerFullRetry = 2 * time.Second

// unknownOutcomeRetry is the retry delay for a key whose outcome is unknown. It is long
// because a retry can't change the outcome.
const unknownOutcomeRetry = 30 * time.Second

// Begin asks to run a request. keep is how long the key must be remembered.
func (l *Ledger) Begin(now time.Time, key LedgerKey, fp Fingerprint, keep time.Duration) KeyDecision {
	l.expire(now)
	if el, ok := l.entries[key]; ok {
		return l.decideRepeat(el.Value.(*ledgerEntry), fp)
	}
	if l.bytes+entryOverhead > l.limit {
		return Deny{coordination.NotRun{Reason: coordination.ReasonLedgerFull, RetryAfter: ledgerFullRetry}}
	}
	e := &ledgerEntry{key: key, fingerprint: fp, expires: now.Add(keep), first: &FirstAttempt{Done: make(chan struct{})}, running: true, bytes: entryOverhead}
	l.entries[key] = l.insert(e)
	l.bytes += e.bytes
	return Start{}
}

func (l *Ledger) decideRepeat(e *ledgerEntry, fp Fingerprint) KeyDecision {
	switch {
	case e.fingerprint != fp:
		return Conflict{}
	case e.running:
		return Wait{First: e.first}
	case e.answer != nil:
		return Replay{Answer: e.answer}
	}
	return Deny{coordination.MayHaveRun{Reason: coordination.ReasonKeyOutcomeUnknown, RetryAfter: unknownOutcomeRetry}}
}

// insert keeps the list ordered by expiry. Most keys have the same window, so the
// search from the back is short.
func (l *Ledger) insert(e *ledgerEntry) *list.Element {
	for el := l.order.Back(); el != nil; el = el.Prev() {
		if !el.Value.(*ledgerEntry).expires.After(e.expires) {
			return l.order.InsertAfter(e, el)
		}
	}
	return l.order.PushFront(e)
}

// Finish records the outcome of the request of a key. A key whose request was not run
// is forgotten, so that a repeat may start it. If a response does not fit, it is
// dropped and the key is kept: repeats are then refused, not run.
func (l *Ledger) Finish(key LedgerKey, o coordination.Outcome, answer *StoredAnswer) {
	el, ok := l.entries[key]
	if !ok {
		return
	}
	e := el.Value.(*ledgerEntry)
	if !e.running {
		return
	}
	e.running = false
	e.first.Outcome = o
	close(e.first.Done)
	if _, notRun := o.(coordination.NotRun); notRun {
		l.remove(el)
		return
	}
	if _, answered := o.(coordination.Answered); answered && answer != nil && l.bytes+answer.size() <= l.limit {
		e.answer = answer
		e.bytes += answer.size()
		l.bytes += answer.size()
	}
}

func (l *Ledger) expire(now time.Time) {
	for el := l.order.Front(); el != nil; el = l.order.Front() {
		e := el.Value.(*ledgerEntry)
		if e.expires.After(now) {
			return
		}
		if e.running {
			// A running key must be kept beyond its window, so extend its expiry.
			e.expires = now.Add(time.Minute)
			l.order.Remove(el)
			l.entries[e.key] = l.insert(e)
			continue
		}
		l.remove(el)
	}
}

func (l *Ledger) remove(el *list.Element) {
	e := el.Value.(*ledgerEntry)
	l.order.Remove(el)
	delete(l.entries, e.key)
	l.bytes -= e.bytes
}
