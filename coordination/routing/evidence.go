// This file counts how attempts at replicas ended, here and at peers.

package routing

import "time"

// Result says how an attempt at a replica ended, as evidence of its health.
type Result int

// The results of attempts.
const (
	// ResultGood is a whole answer.
	ResultGood Result = iota
	// ResultRefused is an answer that says that the request was not run.
	ResultRefused
	// ResultFailed is an answer with an error of the replica's own.
	ResultFailed
	// ResultBroken is an answer that broke off or was none.
	ResultBroken
	// ResultSilent is no answer within the time that others need.
	ResultSilent
	// ResultUnreachable is a connection that was not taken.
	ResultUnreachable
)

// String returns the name of the result in logs and operators' answers.
func (r Result) String() string {
	return [...]string{"good", "refused", "failed", "broken", "silent", "unreachable"}[r]
}

// Evidence is what a daemon counted at one replica within the window.
type Evidence struct {
	Replica LoadKey
	Good    uint16
	Bad     uint16
}

const (
	// evidenceWindow is the time whose results count. With one daemon's counts alone
	// a grey replica took 10 s to be found; with those of all daemons 3 s of counts
	// are enough.
	evidenceWindow = 3 * time.Second
	// evidenceSlots is how many parts the window is counted in.
	evidenceSlots = 6
)

// record is what this daemon knows of one replica.
type record struct {
	good, bad [evidenceSlots]int
	slot      int64
	clock     slotClock
	// ejection is how long the last ejection was, until its end and cause why.
	ejection time.Duration
	until    time.Time
	cause    Result
	answered time.Time // when it last gave this daemon a whole answer
}

// advance clears the slots whose time is over.
func (r *record) advance(now time.Time) {
	slot := r.clock.slot(now, evidenceWindow/evidenceSlots)
	for steps := 0; r.slot < slot && steps < evidenceSlots; steps++ {
		r.slot++
		r.good[r.slot%evidenceSlots], r.bad[r.slot%evidenceSlots] = 0, 0
	}
	r.slot = max(r.slot, slot)
}

// count adds one result.
func (r *record) count(result Result, now time.Time) {
	r.advance(now)
	i := r.slot % evidenceSlots
	if result == ResultGood {
		r.good[i]++
		r.answered = now
		return
	}
	r.bad[i]++
}

func (r *record) sums() (good, bad int) {
	for i := range evidenceSlots {
		good += r.good[i]
		bad += r.bad[i]
	}
	return good, bad
}

func (r *record) ejected(now time.Time) bool { return now.Before(r.until) }

// peerEvidence is the counts of one peer.
type peerEvidence struct {
	until  time.Time // when the counts no longer matter
	counts []Evidence
}

// of returns the peer's counts of one replica.
func (p *peerEvidence) of(key LoadKey, now time.Time) (good, bad int) {
	if now.After(p.until) {
		return 0, 0
	}
	for _, e := range p.counts {
		if e.Replica == key {
			good += int(e.Good)
			bad += int(e.Bad)
		}
	}
	return good, bad
}
