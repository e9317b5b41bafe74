// This file takes back what a daemon held against replicas before it found that its own links to them
// are suspect (reach.go).

package routing

import (
	"slices"
	"time"
)

// Exonerate ends the ejections of a pool's replicas that were due to silence or failed connections, and
// withdraws this daemon's own reports that they are silent. Reports that were sent already expire within
// silenceReportTTL.
func (h *Health) Exonerate(p *Pool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range p.Ready {
		key := p.Ready[i].LoadKey()
		if rec := h.ejected[key]; rec != nil && rec.ejected(now) && isNoResponse(rec.ejectCause) {
			rec.ejectedUntil, rec.ejectDuration = now, 0
			delete(h.ejected, key)
		}
		h.silences.withdraw(key, h.Reporter)
	}
}

// withdraw removes the report of a replica by a daemon, and does not send it.
func (s *silenceTable) withdraw(replica LoadKey, reporter ReporterID) {
	if _, ok := s.reports[replica][reporter]; !ok {
		return
	}
	delete(s.reports[replica], reporter)
	s.count--
	if len(s.reports[replica]) == 0 {
		delete(s.reports, replica)
	}
	s.outbox.pending = slices.DeleteFunc(s.outbox.pending, func(p pendingReport[SilenceReport]) bool {
		return p.report.Replica == replica && p.report.Reporter == reporter
	})
}
