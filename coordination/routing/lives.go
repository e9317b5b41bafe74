// This file decides which ends of replicas are disproved. An end is seen as a connection that
// breaks and a new one that is refused (ended.go); links that refuse look the same to all whom they
// cut off, and what these saw is believed by others.
//
// Inputs: which requests replicas answered, when they were sent, and on connections of which age;
// idle connections that are open; the ends that are known here; the reports of other daemons. The
// rule:
//
//  1. An answer proves that the same start lived from the opening of its connection until the
//     request was sent: no connection outlives its process. When the answer is read proves
//     nothing, since a daemon may be slow or frozen. An idle connection proves as much until
//     it is found open: the end of a process that leaves new ones refused closes it. Such times
//     that overlap are one.
//  2. An end within that time was none. Reports of ends say how old they are, and are on their way
//     for a while, so that an end is held to be later than it was: the time must have begun
//     lifeSlack before it, and gone on past it. The end is forgotten, with the suspicion that it
//     casts on requests (crash.go).
//  3. A daemon that hears of an end, and knows better, tells others. Each that learns something by
//     that passes it on once.

package routing

import "time"

// LifeReport says that a start of a replica lived through a time.
type LifeReport struct {
	Replica LoadKey
	Since   time.Duration // how long ago that time began
	Age     time.Duration // how long ago it ended
}

const (
	// lifeSlack bounds by how much later an end is held to be. Reports are passed on within tens of
	// milliseconds. On the other side ageRounding is enough: more would let ends count that a cut
	// made up.
	lifeSlack   = 300 * time.Millisecond
	ageRounding = 10 * time.Millisecond
	// lifeMemory is how long a time without answers is kept: as long as ends matter, and
	// reports of them are on their way.
	lifeMemory = 2 * endedHoldStale
	// lifeInterval is how often a daemon says the same again.
	lifeInterval = time.Second
	// maxLifeReports bounds those that wait: each daemon of a large fleet may know as much.
	maxLifeReports = 500
)

// life is the latest time through which a start is known to have lived.
type life struct {
	from, to time.Time
	toldAt   time.Time
}

// covers reports whether an end at a time was none, by rule 2.
func (l *life) covers(at time.Time) bool {
	return l != nil && at.Sub(l.from) > lifeSlack && l.to.Sub(at) > ageRounding
}

// add joins a time to the one that is known, or takes its place.
func (l *life) add(from, to time.Time) {
	if from.After(l.to) || l.to.IsZero() {
		l.from = from
	}
	if from.Before(l.from) {
		l.from = from
	}
	l.to = latest(l.to, to)
}

// Lived takes in that a replica answered a request of this daemon, which was sent at a time on a
// connection that was opened at a time; or that such a connection was found open.
func (h *Health) Lived(r *Replica, opened, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life(r.LoadKey()).add(opened, sent)
	h.tellOfLife(r.LoadKey(), sent)
}

// life returns what is known of a start. The caller holds the lock.
func (h *Health) life(key LoadKey) *life {
	l := h.lives[key]
	if l == nil {
		l = &life{}
		h.lives[key] = l
	}
	return l
}

// tellOfLife has others told that an end which is known here was none, if that is so, and
// forgets it. The caller holds the lock.
func (h *Health) tellOfLife(key LoadKey, now time.Time) bool {
	at, ended := h.ended[key]
	l := h.lives[key]
	if !ended || !l.covers(at) {
		return false
	}
	delete(h.ended, key)
	h.queueLife(key, l, now)
	return true
}

// queueLife has a report sent, unless the same was sent a moment ago. The caller holds the lock.
func (h *Health) queueLife(key LoadKey, l *life, now time.Time) {
	if now.Sub(l.toldAt) < lifeInterval {
		return
	}
	l.toldAt = now
	h.lifeReports.add(LifeReport{Replica: key}, now)
}

// Disproves reports whether an end of a start at a time is known to have been none.
func (h *Health) Disproves(key LoadKey, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lives[key].covers(at)
}

// Believable returns those of the reports of ends that are not disproved, acquittals included.
// Others are told of those that are.
func (h *Health) Believable(reports []CrashReport, now time.Time) []CrashReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]CrashReport, 0, len(reports))
	for _, r := range reports {
		l := h.lives[r.Replica]
		if r.Acquits || !l.covers(now.Add(-r.Age)) {
			out = append(out, r)
			continue
		}
		h.queueLife(r.Replica, l, now)
	}
	return out
}

// ObserveLives takes in the reports of another daemon. It returns the starts of which an end is
// disproved by that.
func (h *Health) ObserveLives(reports []LifeReport, now time.Time) []LoadKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []LoadKey
	for _, r := range reports {
		h.life(r.Replica).add(now.Add(-r.Since), now.Add(-r.Age))
		if h.tellOfLife(r.Replica, now) {
			found = append(found, r.Replica)
		}
	}
	return found
}

// LivesWaiting has a value once reports wait for [Health.TakeLives].
func (h *Health) LivesWaiting() <-chan struct{} { return h.lifeReports.waiting }

// TakeLives returns up to n reports to pass on. What is left waits.
func (h *Health) TakeLives(n int, now time.Time) []LifeReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lifeReports.take(n, now, func(r LifeReport, _ time.Duration) LifeReport {
		l := h.life(r.Replica)
		r.Since, r.Age = now.Sub(l.from), now.Sub(l.to)
		return r
	})
}

// forgetLives drops what no longer matters. The caller holds the lock.
func (h *Health) forgetLives(now time.Time) {
	for key, l := range h.lives {
		if now.Sub(l.to) > lifeMemory {
			delete(h.lives, key)
		}
	}
}
