// This file checks that a process does not regress: once it must have received a change, it applies
// the change until it terminates, whatever happens later to the store, its backups and other daemons.

package soak

import (
	"net/http"
	"time"
)

// mustKnow reports whether the process that accepted a request must have received a change that the store
// accepted at a time: it ran already, and it and the store were undisturbed until the bound had passed.
func (j *checker) mustKnow(r *record, since time.Time, bound time.Duration) bool {
	begun, ok := j.begins[r.by()]
	from, to := since.Add(-j.bounds.SyncTime), since.Add(bound)
	return ok && begun.Before(from) && r.Sent.After(to) && !j.runsPreviousBuild(r.by()) &&
		noneOverlaps(j.daemons[r.Daemon], from, to) && noneOverlaps(j.shutdowns[r.Daemon], from, to) && noneOverlaps(j.store, from, to)
}

// missesEras reports whether the process that accepted a request is of the previous build, which does not
// support eras of the store, and the store was restored from a backup: that build then mistakes changes
// for older documents.
func (j *checker) missesEras(r *record) bool {
	return j.runsPreviousBuild(r.by()) && !j.restored.IsZero() && r.Sent.After(j.restored)
}

// Restored records that the store was restored from a backup.
func (l *Ledger) Restored(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restored.IsZero() {
		l.restored = at
	}
}

// checkRegress reports what only an older configuration or an older entry allows.
func (j *checker) checkRegress(r *record) {
	key := j.keys[r.Key]
	for _, run := range r.runs {
		if key != nil && !key.removed.IsZero() && j.mustKnow(r, key.removed, j.bounds.Apply) {
			j.add("CONFIG", r, run.At, "ran with a key whose revocation this process of daemon %d had applied; it was revoked %v earlier", r.Daemon, run.At.Sub(key.removed))
		}
		for _, left := range j.departures[run.Replica] {
			if run.At.Before(left.to) && j.mustKnow(r, left.from, j.bounds.Drain) {
				j.add("DRAIN", r, run.At, "reached %s, whose departure this process of daemon %d had received; it was announced %v earlier", run.Replica, r.Daemon, run.At.Sub(left.from))
			}
		}
	}
	if a := r.answer; a != nil && a.Seal == "" && a.Status == http.StatusUnauthorized && key != nil && key.removed.IsZero() && !key.added.IsZero() && j.mustKnow(r, key.added, j.bounds.Apply) {
		j.add("CONFIG", r, a.At, "this process of daemon %d rejected a key that it had received", r.Daemon)
	}
}
