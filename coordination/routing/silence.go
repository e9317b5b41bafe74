// This file shares between daemons which replicas are silent, so that not every daemon has to
// find out by a request of its own: with a hundred replicas or more, each daemon sends requests
// to a given one only a few times a minute.
//
// Inputs: this daemon's own attempts that met silence or no connection, and the reports of other
// daemons, each of which every daemon forwards once. The rule:
//
//  1. A daemon reports a replica that accepted no connection, or that was silent for unresponsiveTimeout
//     (timeouts.go). A request that is retried elsewhere sooner reports nothing: a replica that is
//     merely busy keeps some requests waiting that long, and if all daemons then avoided it, the
//     other replicas of a small service would be overloaded next.
//  2. A report names the replica, the daemon that met the silence, and its age. Of two reports
//     with the same replica and daemon the newer one counts, so that the order and number of
//     copies in which reports arrive do not matter.
//  3. A replica is silent while at least minSilentReporters daemons reported it within
//     silenceReportTTL, and all these reports are newer than the last complete response that this
//     daemon got from it.
//  4. A silent replica is treated like an ejected one (eject.go, including rule 4). When the
//     reports have expired, it gets requests again.
//
// The memory is bounded by maxSilenceReports.

package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReporterID identifies a daemon in reports. It is a hash of its address.
type ReporterID uint32

// NewReporterID returns the id of the daemon at an address.
func NewReporterID(address string) ReporterID { return ReporterID(xxhash.Sum64String(address)) }

// SilenceReport says that a daemon found a replica silent.
type SilenceReport struct {
	Replica  LoadKey
	Reporter ReporterID
	Age      time.Duration // since the daemon found it silent
}

const (
	// minSilentReporters is how many daemons must report a replica. One may be cut off itself or
	// have lost a packet; two may be so at the same time.
	minSilentReporters = 3
	// silenceReportTTL is how long a report counts: as long as other evidence.
	silenceReportTTL = evidenceWindow
	// forwardInterval is how much newer than the last forwarded report of the same replica and
	// daemon a report must be to be forwarded again: a third of its lifetime, so that the
	// information does not expire while the silence goes on.
	forwardInterval = silenceReportTTL / 3
	// maxSilenceReports bounds the reports kept: ten for each of 400 replicas.
	maxSilenceReports = 4000
)

// silenceTable holds the reports. It is not safe for concurrent use.
type silenceTable struct {
	reports map[LoadKey]map[ReporterID]silenceRecord
	count   int
	outbox  outbox[SilenceReport]
}

// silenceRecord is the newest report by one daemon of one replica.
type silenceRecord struct {
	at          time.Time // when the silence was met
	forwardedAt time.Time // the time of the newest report that was forwarded
}

func newSilenceTable() silenceTable {
	return silenceTable{
		reports: make(map[LoadKey]map[ReporterID]silenceRecord),
		outbox: outbox[SilenceReport]{
			notify: make(chan struct{}, 1), capacity: maxSilenceReports, maxAge: silenceReportTTL, keepUnsent: true,
			compare: func(a, b pendingReport[SilenceReport]) int { return b.at.Compare(a.at) },
		},
	}
}

// add records a report, and queues it to be forwarded if it is new.
func (s *silenceTable) add(replica LoadKey, reporter ReporterID, at, now time.Time) {
	known, ok := s.reports[replica][reporter]
	if now.Sub(at) >= silenceReportTTL || ok && !at.After(known.at) || !ok && s.count >= maxSilenceReports {
		return
	}
	if !ok {
		s.count++
	}
	if s.reports[replica] == nil {
		s.reports[replica] = make(map[ReporterID]silenceRecord)
	}
	known.at = at
	if at.Sub(known.forwardedAt) >= forwardInterval {
		known.forwardedAt = at
		s.outbox.add(SilenceReport{Replica: replica, Reporter: reporter}, at)
	}
	s.reports[replica][reporter] = known
}

// isSilent reports whether enough daemons found a replica silent after it last responded to this
// daemon.
func (s *silenceTable) isSilent(replica LoadKey, answered, now time.Time) bool {
	n := 0
	for _, r := range s.reports[replica] {
		if now.Sub(r.at) < silenceReportTTL && r.at.After(answered) {
			n++
		}
	}
	return n >= minSilentReporters
}

// forget removes expired reports.
func (s *silenceTable) forget(now time.Time) {
	for replica, of := range s.reports {
		for reporter, r := range of {
			if now.Sub(r.at) >= silenceReportTTL {
				delete(of, reporter)
				s.count--
			}
		}
		if len(of) == 0 {
			delete(s.reports, replica)
		}
	}
}

// ReportSilence records that a replica was silent for unresponsiveTimeout.
func (h *Health) ReportSilence(r *Replica, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silences.add(r.LoadKey(), h.Reporter, now, now)
}

// ObserveSilences applies the reports of a peer. It returns the replicas that are silent from now
// on and were not before.
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

// TakeSilences returns up to n reports to send to other daemons, the newest first.
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
		answered = rec.lastGood
	}
	return h.silences.isSilent(key, answered, now)
}

// reasonSilentToOthers is shown to operators. Tools match the text.
const reasonSilentToOthers = "several daemons find it silent"
