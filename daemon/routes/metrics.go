// This file defines the counters and histograms of a daemon.

package routes

import (
	"io"

	"github.com/rcrowley/go-metrics"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/relay"
)

// Metrics are the figures of a daemon.
type Metrics struct {
	registry metrics.Registry

	Requests   metrics.Counter
	Answered   metrics.Counter
	NotRun     metrics.Counter
	MayHaveRun metrics.Counter
	CallerGone metrics.Counter
	Denied     metrics.Counter
	Retries    metrics.Counter
	// LoansAsked counts the times that another daemon was asked for a retry, and LoansGiven those
	// that this one lent one, or a part.
	LoansAsked     metrics.Counter
	LoansGiven     metrics.Counter
	Spilled        metrics.Counter
	Copied         metrics.Counter
	NewConnections metrics.Counter
	Ejections      metrics.Counter
	// FoundSilent counts the replicas that only other daemons found silent.
	FoundSilent metrics.Counter
	// Crowded counts the requests that found their replica crowded.
	Crowded metrics.Counter
	// EndedUnder counts the requests whose replica ended while it had them.
	EndedUnder metrics.Counter
	// ContentsHeld counts the contents that were held back because replicas end under them.
	ContentsHeld metrics.Counter
	// RestsAsked counts the answers that asked for a time without requests, and LeavingSaid
	// those that said that their replica leaves.
	RestsAsked metrics.Counter
	// Resting counts the times at which a replica that did not rest began to, AllResting the
	// requests that were refused because all rested that could serve them.
	Resting     metrics.Counter
	AllResting  metrics.Counter
	LeavingSaid metrics.Counter
	// NotUnderstood counts the fields of answers that could not be read.
	NotUnderstood metrics.Counter
	// UnusableEntries counts the entries that named no replica when they changed.
	UnusableEntries metrics.Counter
	// Cold counts the replicas that turned cold, Evacuations the failure domains that
	// operators evacuated.
	Cold        metrics.Counter
	Evacuations metrics.Counter
	StoreCalls  metrics.Counter
	// StoreEras counts how often the store came back from a copy of itself, and StoreOlder its answers
	// that were not believed because they were older than what was known.
	StoreEras  metrics.Counter
	StoreOlder metrics.Counter
	Syncs      metrics.Counter
	// SyncedBytes and HeartbeatBytes are payloads, without headers of lower layers.
	SyncedBytes        metrics.Counter
	HeartbeatBytes     metrics.Counter
	HeartbeatsSent     metrics.Counter
	HeartbeatsReceived metrics.Counter
	FirstByte          metrics.Histogram // milliseconds
	Total              metrics.Histogram // milliseconds
	// LoadMissed is by how many requests a replica held more than the daemon believed
	// when it chose it, the sent one left out; Coverage is the percentage of the fleet's
	// daemons that the belief contained. Together they say whether the load bound of
	// routing holds, and if not, whether for want of news.
	LoadMissed metrics.Histogram
	Coverage   metrics.Histogram
}

// sampleSize and sampleAlpha shape the histograms' reservoirs.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// newMetrics returns the metrics of one daemon.
func newMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	for name, c := range map[string]*metrics.Counter{
		"requests_total":         &m.Requests,
		"answered_total":         &m.Answered,
		"not_run_total":          &m.NotRun,
		"may_have_run_total":     &m.MayHaveRun,
		"caller_gone_total":      &m.CallerGone,
		"denied_total":           &m.Denied,
		"repeats_total":          &m.Retries,
		"loans_asked_total":      &m.LoansAsked,
		"loans_given_total":      &m.LoansGiven,
		"spilled_total":          &m.Spilled,
		"prompts_copied_total":   &m.Copied,
		"new_connections_total":  &m.NewConnections,
		"passed_over_total":      &m.Ejections,
		"found_silent_total":     &m.FoundSilent,
		"crowded_total":          &m.Crowded,
		"ended_under_total":      &m.EndedUnder,
		"contents_held_total":    &m.ContentsHeld,
		"rests_asked_total":      &m.RestsAsked,
		"resting_total":          &m.Resting,
		"all_resting_total":      &m.AllResting,
		"leaving_said_total":     &m.LeavingSaid,
		"not_understood_total":   &m.NotUnderstood,
		"unusable_entries_total": &m.UnusableEntries,
		"turned_cold_total":      &m.Cold,
		"evacuations_total":      &m.Evacuations,
		"store_calls_total":      &m.StoreCalls,
		"store_eras_total":       &m.StoreEras,
		"store_older_total":      &m.StoreOlder,
		"pulls_total":            &m.Syncs,
		"pulled_bytes_total":     &m.SyncedBytes,
		"beat_bytes_total":       &m.HeartbeatBytes,
		"beats_sent_total":       &m.HeartbeatsSent,
		"beats_heard_total":      &m.HeartbeatsReceived,
	} {
		*c = metrics.NewRegisteredCounter(name, m.registry)
	}
	m.FirstByte = metrics.NewRegisteredHistogram("first_byte_ms", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.Total = metrics.NewRegisteredHistogram("total_ms", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.LoadMissed = metrics.NewRegisteredHistogram("load_missed", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.Coverage = metrics.NewRegisteredHistogram("load_coverage_percent", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	return m
}

// finished counts a request that has ended.
func (m *Metrics) finished(s *relay.Summary) {
	m.Requests.Inc(1)
	switch s.Outcome.(type) {
	case coordination.Answered:
		m.Answered.Inc(1)
	case coordination.NotRun:
		m.NotRun.Inc(1)
	case coordination.MayHaveRun:
		m.MayHaveRun.Inc(1)
	}
	if reasonOf(s.Outcome) == string(coordination.ReasonResting) {
		m.AllResting.Inc(1)
	}
	if s.CallerGone {
		m.CallerGone.Inc(1)
	}
	if s.FirstByte > 0 {
		m.FirstByte.Update(s.FirstByte.Milliseconds())
	}
	m.Total.Update(s.Total.Milliseconds())
	for i := range s.Attempts {
		t := &s.Attempts[i]
		if i > 0 {
			m.Retries.Inc(1)
		}
		if t.Rank > 0 {
			m.Spilled.Inc(1)
		}
		if t.PromptSource != "" {
			m.Copied.Inc(1)
		}
		if !t.Reused {
			m.NewConnections.Inc(1)
		}
		if t.Reported.Known {
			m.LoadMissed.Update(int64(max(0, t.Reported.Requests-1-t.Load)))
			m.Coverage.Update(int64(percent * t.LoadCoverage))
		}
	}
}

const percent = 100

// quantiles are those of the metrics page.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all metrics as [transport.WriteMetrics] does.
func (m *Metrics) WriteText(w io.Writer) error {
	return transport.WriteMetrics(w, m.registry, quantiles)
}
