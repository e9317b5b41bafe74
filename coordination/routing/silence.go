// This file shares which replicas are silent, so that a daemon need not find out by a request of
// its own: before a hundred replicas and more, each daemon sends to a given one a few times a
// minute.
//
// Inputs: this daemon's own attempts that met silence or no connection, and the reports
// of other daemons, which every daemon passes on once. The rule:
//
//  1. A daemon reports a replica that took no connection, or that was silent for
//     unresponsiveTimeout (timeouts.go). A request that goes elsewhere sooner reports nothing:
//     a replica that is only busy keeps some waiting that long, and if all daemons then
//     left it the others of a small service would be the next.
//  2. A report names the replica, the daemon that met the silence, and its age. Of two
//     that name the same replica and daemon the newer one counts, so that a report
//     counts once in whatever order and however often it arrives.
//  3. A replica is silent while at least silentReporters daemons reported it within
//     silenceAge, and none of those reports is older than this daemon's last whole
//     answer from it.
//  4. A silent replica gets no requests, as one that is ejected (eject.go, rule 4
//     included). When its reports have expired, requests find out.
//
// The memory is bounded by maxSilences reports.

package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReporterID names a daemon in reports: a hash of its address.
type ReporterID uint32

// NewReporterID returns the id of the daemon at an address.
func NewReporterID(address string) ReporterID { return ReporterID(xxhash.Sum64String(address)) }

// SilenceReport says that a daemon found a replica silent.
type SilenceReport struct {
	Replica  LoadKey
	Reporter ReporterID
	Age      time.Duration // since the silence was met
}

const (
	// silentReporters is how many daemons must have met the silence. One may be cut off itself, or
	// have lost a packet; two may be so at a time.
	silentReporters = 3
	// silenceAge is how long a report counts: as long as other evidence.
	silenceAge = evidenceWindow
	// refreshAfter is how much newer a report must be than the one it replaces to be
	// passed on again: a third of its life, so that what is known does not expire while
	// the silence goes on.
	refreshAfter = silenceAge / 3
	// maxSilences bounds the reports that are kept: ten for each of 400 replicas.
	maxSilences = 4000
)

// silences keeps the reports. Its owner guards it.
type silences struct {
	reports map[LoadKey]map[ReporterID]silence
	count   int
	outbox  outbox[SilenceReport]
}

// silence is the newest that one daemon reported of one replica.
type silence struct {
	at     time.Time // when it was met
	passed time.Time // the time of the newest report that was passed on
}

func newSilences() silences {
	return silences{
		reports: make(map[LoadKey]map[ReporterID]silence),
		outbox: outbox[SilenceReport]{
			waiting: make(chan struct{}, 1), most: maxSilences, maxAge: silenceAge, keeps: true,
			before: func(a, b pendingReport[SilenceReport]) int { return b.at.Compare(a.at) },
		},
	}
}

// add takes in a report, and has it passed on if it is new.
func (s *silences) add(replica LoadKey, reporter ReporterID, at, now time.Time) {
	known, ok := s.reports[replica][reporter]
	if now.Sub(at) >= silenceAge || ok && !at.After(known.at) || !ok && s.count >= maxSilences {
		return
	}
	if !ok {
		s.count++
	}
	if s.reports[replica] == nil {
		s.reports[replica] = make(map[ReporterID]silence)
	}
	known.at = at
	if at.Sub(known.passed) >= refreshAfter {
		known.passed = at
		s.outbox.add(SilenceReport{Replica: replica, Reporter: reporter}, at)
	}
	s.reports[replica][reporter] = known
}

// silent reports whether enough daemons found a replica silent after it last answered
// this one.
func (s *silences) silent(replica LoadKey, answered, now time.Time) bool {
	n := 0
	for _, r := range s.reports[replica] {
		if now.Sub(r.at) < silenceAge && r.at.After(answered) {
			n++
		}
	}
	return n >= silentReporters
}

// forget drops the reports that have expired.
func (s *silences) forget(now time.Time) {
	for replica, of := range s.reports {
		for reporter, r := range of {
			if now.Sub(r.at) >= silenceAge {
				delete(of, reporter)
				s.count--
			}
		}
		if len(of) == 0 {
			delete(s.reports, replica)
		}
	}
}

// ReportSilence takes in that a replica was silent for unresponsiveTimeout.
func (h *Health) ReportSilence(r *Replica, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silences.add(r.LoadKey(), h.Reporter, now, now)
}

// ObserveSilences takes in the reports of a peer. It returns the replicas that are
// silent from now on and were not before.
func (h *Health) ObserveSilences(reports []SilenceReport, now time.Time) []LoadKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []LoadKey
	for _, r := range reports {
		before := h.isSilent(r.Replica, now)
		h.silences.add(r.Replica, r.Reporter, now.Add(-r.Age), now)
		if !before && h.isSilent(r.Replica, now) {
			found = append(found, r.Replica)
		}
	}
	return found
}

// TakeSilences returns up to n reports that are to be passed on, the newest first.
func (h *Health) TakeSilences(n int, now time.Time) []SilenceReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silences.outbox.take(n, now, func(r SilenceReport, age time.Duration) SilenceReport {
		r.Age = age
		return r
	})
}

func (h *Health) isSilent(key LoadKey, now time.Time) bool {
	var answered time.Time
	if rec := h.records[key]; rec != nil {
		answered = rec.answered
	}
	return h.silences.silent(key, answered, now)
}

// reasonSilentToOthers is the reason that operators see.
const reasonSilentToOthers = "several daemons find it silent"
