// This file judges that a process does not go back: what it must have known once, it goes by until
// its end, whatever happens to the store, its copies and the other daemons later.

package soak

import (
	"net/http"
	"time"
)

// knew reports whether the process that took a request must have known something that the store took
// at a time: it ran already, and it and the store were undisturbed until the bound had passed.
func (j *judgement) knew(r *record, since time.Time, bound time.Duration) bool {
	begun, ok := j.begins[r.by()]
	from, to := since.Add(-j.bounds.Contact), since.Add(bound)
	return ok && begun.Before(from) && r.Sent.After(to) && !j.isPrevious(r.by()) &&
		calm(j.daemons[r.Daemon], from, to) && calm(j.stops[r.Daemon], from, to) && calm(j.store, from, to)
}

// missesEras reports whether the process that took a request is of the last build, which knows no eras of
// the store, and the store has come back from a copy: that build takes what changes for older then.
func (j *judgement) missesEras(r *record) bool {
	return j.isPrevious(r.by()) && !j.restored.IsZero() && r.Sent.After(j.restored)
}

// Restored notes that the store came back from a copy of itself.
func (l *Ledger) Restored(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restored.IsZero() {
		l.restored = at
	}
}

// judgeRegress looks for what an older configuration, or an older entry, allows alone.
func (j *judgement) judgeRegress(r *record) {
	key := j.keys[r.Key]
	for _, run := range r.runs {
		if key != nil && !key.removed.IsZero() && j.knew(r, key.removed, j.bounds.Apply) {
			j.add("CONFIG", r, run.At, "ran with a key that this process of daemon %d knew to be taken away, %v before", r.Daemon, run.At.Sub(key.removed))
		}
		for _, left := range j.leaving[run.Replica] {
			if run.At.Before(left.to) && j.knew(r, left.from, j.bounds.Drain) {
				j.add("DRAIN", r, run.At, "reached %s, which this process of daemon %d knew to leave since %v", run.Replica, r.Daemon, run.At.Sub(left.from))
			}
		}
	}
	if a := r.answer; a != nil && a.Seal == "" && a.Status == http.StatusUnauthorized && key != nil && key.removed.IsZero() && !key.added.IsZero() && j.knew(r, key.added, j.bounds.Apply) {
		j.add("CONFIG", r, a.At, "this process of daemon %d knew a key that it does not know any more", r.Daemon)
	}
}
