// This file counts the results of attempts at replicas, by this daemon and by its peers.

package routing

import "time"

// Result is the result of an attempt at a replica, as evidence of its health.
type Result int

// Results of attempts.
const (
	// ResultGood is a complete response.
	ResultGood Result = iota
	// ResultRefused is a response that says that the request was not run.
	ResultRefused
	// ResultFailed is an error response from the replica itself.
	ResultFailed
	// ResultBroken is an incomplete or invalid response, or none because the connection broke.
	ResultBroken
	// ResultSilent is no response within the time limit (timeouts.go).
	ResultSilent
	// ResultUnreachable is a failed connection attempt.
	ResultUnreachable
)

// String returns the name of the result in logs and in answers to operators.
func (r Result) String() string {
	return [...]string{"good", "refused", "failed", "broken", "silent", "unreachable"}[r]
}

// Evidence is the number of results that a daemon counted at one replica within evidenceWindow.
type Evidence struct {
	Replica LoadKey
	Good    uint16
	Bad     uint16
}

const (
	// evidenceWindow is the sliding window in which results count. With one daemon's counts alone
	// it took 10 s to find a replica that fails part of its requests; with those of all daemons 3
	// s of counts are enough.
	evidenceWindow = 3 * time.Second
	// evidenceSlots is the number of slots that the window is divided into.
	evidenceSlots = 6
)

// record is what this daemon knows of one replica.
type record struct {
	good, bad [evidenceSlots]int
	slot      int64
	clock     slotClock
	// ejectDuration is the duration of the last ejection, ejectedUntil its end and ejectCause its
	// cause.
	ejectDuration time.Duration
	ejectedUntil  time.Time
	ejectCause    Result
	lastGood      time.Time // when it last sent this daemon a complete response
}

// advance clears the slots that have left the window.
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
		r.lastGood = now
		return
	}
	r.bad[i]++
}

func (r *record) totals() (good, bad int) {
	for i := range evidenceSlots {
		good += r.good[i]
		bad += r.bad[i]
	}
	return good, bad
}

func (r *record) ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// peerEvidence holds the counts of one peer.
type peerEvidence struct {
	until  time.Time // when the counts expire
	counts []Evidence
}

// countsOf returns the peer's counts of one replica.
func (p *peerEvidence) countsOf(key LoadKey, now time.Time) (good, bad int) {
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
