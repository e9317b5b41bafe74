// This file lets sound replicas fall silent for a moment and go on, and checks that no daemon ends a response
// meanwhile.

package soak

import (
	"math"
	"math/rand/v2"
	"time"
)

// silenceReplica is a fault in which a replica sends nothing, and goes on later. It is no disturbance: the replica
// is sound.
const silenceReplica faultKind = "silence_replica"

const (
	// minSilence and maxSilence bound how long a sound replica may be silent.
	minSilence = 900 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
	// silenceSlack is how early in a silence a response may end for what the replica sent before.
	silenceSlack = 100 * time.Millisecond
)

// silentSpan is a time in which a replica was silent.
type silentSpan struct {
	replica string
	span
}

// drawSilences adds the silences of a seed, from a random source of their own.
func (p *Plan) drawSilences(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 12))
	for range int(math.Ceil(s.SilencesPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = silenceReplica
		f.For = minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
		p.Faults = append(p.Faults, f)
	}
}

// fallSilent makes the replica of a place silent for the duration of the fault.
func (s *injector) fallSilent(f *Fault) {
	_, r := s.pickPlace(f.Target)
	from := time.Now()
	r.silence(from.Add(f.For))
	s.ledger.FellSilent(r.ID, from, from.Add(f.For))
	pause(s.ctx, f.For)
}

// silence makes the replica send nothing until a time.
func (r *Replica) silence(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = until
}

// untilItSpeaks returns how much longer the replica is silent.
func (r *Replica) untilItSpeaks() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.silentUntil)
}

// FellSilent records that a sound replica sends nothing for a while.
func (l *Ledger) FellSilent(replica string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silences = append(l.silences, silentSpan{replica, span{from, to}})
}

// checkSilences reports responses that ended for a caller, before its deadline, while each replica that had the
// request was silent: none of them can have broken it off.
func (j *checker) checkSilences() {
	if len(j.silences) == 0 {
		return
	}
	for _, r := range j.order {
		if !r.known || r.answer == nil || len(r.runs) == 0 || !r.disconnected.IsZero() {
			continue
		}
		a := r.answer
		isSuccess := a.Complete && a.Status/100 == 2
		if isSuccess || a.At.After(r.Deadline) || !j.undisturbed(r.Daemon, r.Sent, a.At) || j.cutByShutdown(r, r.runs[len(r.runs)-1]) {
			continue
		}
		if j.allSilent(r.runs, a.At) {
			j.add("LOST", r, a.At, "daemon %d ended a response with status %d and %q while replica %s was silent",
				r.Daemon, a.Status, a.Reason, r.runs[len(r.runs)-1].Replica)
		}
	}
}

// allSilent reports whether the replicas of all runs were silent at a time, and had been for a moment.
func (j *checker) allSilent(runs []*Run, at time.Time) bool {
	for _, run := range runs {
		if !j.isSilent(run, at) {
			return false
		}
	}
	return true
}

// isSilent reports whether the replica of a run was silent at a time, and was not disturbed otherwise since: one that
// crashes breaks its connections off.
func (j *checker) isSilent(run *Run, at time.Time) bool {
	for _, s := range j.silences {
		isDuring := at.After(s.from.Add(silenceSlack)) && at.Before(s.to) && run.At.Before(s.to)
		if s.replica == run.Replica && isDuring && noneOverlaps(j.replicas[run.Replica], s.from, at) {
			return true
		}
	}
	return false
}
