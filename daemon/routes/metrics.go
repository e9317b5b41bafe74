// This file defines the metrics of a daemon.

package routes

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/relay"
)

// Metrics are the counters and histograms of a daemon.
type Metrics struct {
	registry metrics.Registry

	Requests   metrics.Counter
	Answered   metrics.Counter
	NotRun     metrics.Counter
	MayHaveRun metrics.Counter
	CallerGone metrics.Counter
	// BrokenOff counts the responses that this daemon ended before they were complete, BrokenOffAcrossConfigs those of
	// them during which a configuration became active.
	BrokenOff, BrokenOffAcrossConfigs metrics.Counter
	Denied                            metrics.Counter
	// AcceptErrors counts the connections, or attempts to accept one, that failed with an error of the system.
	AcceptErrors metrics.Counter
	// Panics counts the requests of callers, peers, operators and scrapers that a panic ended.
	Panics  metrics.Counter
	Retries metrics.Counter
	// TransfersRequested counts the transfers of retry budget that this daemon requested from others, and
	// TransfersGranted the transfers that it granted, in whole or in part.
	TransfersRequested metrics.Counter
	TransfersGranted   metrics.Counter
	Spilled            metrics.Counter
	PromptsCopied      metrics.Counter
	NewConnections     metrics.Counter
	Ejections          metrics.Counter
	// ReportedSilent counts the replicas that were silent according to other daemons' reports.
	ReportedSilent metrics.Counter
	// LinksLost counts how often this daemon's own links to the replicas of a service were found to be
	// down.
	LinksLost metrics.Counter
	// DetourConnections counts the connections that other daemons opened for this one, and
	// CarriedConnections those that this one opened for others.
	DetourConnections  metrics.Counter
	CarriedConnections metrics.Counter
	// ConnEnds counts the connections that ended inside a response, of this daemon's own, and DetourConnEnds those that
	// other daemons opened for it.
	ConnEnds, DetourConnEnds map[relay.ConnEnd]metrics.Counter
	// Overloaded counts the requests that found their replica overloaded.
	Overloaded metrics.Counter
	// Crashed counts the requests whose replica crashed while serving them.
	Crashed metrics.Counter
	// ContentsQuarantined counts the contents that were quarantined because replicas crash while serving them.
	ContentsQuarantined metrics.Counter
	// PartsQuarantined counts the parts of prompts that were quarantined, RefusedForParts the requests refused for one.
	PartsQuarantined, RefusedForParts metrics.Counter
	// RefusedForBodies counts the requests that were refused because the bodies of others take all memory for them.
	RefusedForBodies metrics.Counter
	// BackoffsRequested counts the responses that requested a backoff, and DeparturesAnnounced
	// those that announced the departure of their replica.
	BackoffsRequested metrics.Counter
	// BackoffsBegun counts the backoffs that began, not counting extensions. AllBackingOff counts
	// the requests refused because every replica that could serve them was backing off.
	BackoffsBegun       metrics.Counter
	AllBackingOff       metrics.Counter
	DeparturesAnnounced metrics.Counter
	// NewVersionStreams counts the attempts that were to begin a stream at a version that is not established, since no replica of
	// another one was usable.
	NewVersionStreams metrics.Counter
	// BrittleBegun counts how often a service was found to be brittle. Rejections counts the requests that
	// replicas rejected without running them, BrittleRejections those of replicas that said they are brittle.
	BrittleBegun, Rejections, BrittleRejections metrics.Counter
	// InvalidFields counts the invalid fields of responses.
	InvalidFields metrics.Counter
	// UnusableEntries counts the changes of entries that made them, or left them, unusable.
	UnusableEntries metrics.Counter
	// TurnedCold counts how often a replica became cold, Evacuations how often a failure domain was
	// evacuated.
	TurnedCold  metrics.Counter
	Evacuations metrics.Counter
	// PeersRestarted counts the starts of peers whose former process had not announced its shutdown.
	PeersRestarted metrics.Counter
	StoreCalls     metrics.Counter
	// StoreEras counts the restores of the store from a backup. OlderStoreResponses counts the
	// store's responses that were rejected because they were older than the known position.
	StoreEras           metrics.Counter
	OlderStoreResponses metrics.Counter
	Syncs               metrics.Counter
	// Memory is the resident memory of the process in bytes, and MemoryMax the largest sample of it. MemoryNearLimit
	// counts how often it came near the limit of the settings.
	Memory, MemoryMax metrics.Gauge
	MemoryNearLimit   metrics.Counter
	// PermitsAsked counts the requests for permits of saturated services, PermitsAlone those that
	// this daemon granted or refused without another coordinator, and CoordinatorsSilent how often a
	// coordinator did not reply in time.
	PermitsAsked, PermitsGranted, PermitsRefused, PermitsAlone metrics.Counter
	CoordinatorsSilent                                         metrics.Counter
	// ConnectionsDropped counts the connections of clients that were closed since a listener had no room (daemon/conn_limits.go).
	ConnectionsDropped metrics.Counter
	// SyncedBytes and HeartbeatBytes count payload bytes, without headers of lower layers.
	SyncedBytes        metrics.Counter
	HeartbeatBytes     metrics.Counter
	HeartbeatsSent     metrics.Counter
	HeartbeatsReceived metrics.Counter
	// OriginsRecorded counts the streams whose software version this daemon recorded at other daemons,
	// CallerResumes the requests that resume a stream, ResumesUnknown those of them that were refused because its version is not
	// known, and ResumesVersionGone those refused because no replica of it is ready.
	OriginsRecorded, CallerResumes, ResumesUnknown, ResumesVersionGone metrics.Counter
	// OriginsResent counts how often one of these records was sent again, to a daemon that holds it since other daemons have
	// started or shut down.
	OriginsResent metrics.Counter
	// ResumesOnlyVersion counts the resumed streams that were bound to the only version of their service, ResumesOwnRecord
	// those that were bound by this daemon's record, and ResumesHolder those bound by another daemon's.
	ResumesOnlyVersion, ResumesOwnRecord, ResumesHolder metrics.Counter
	// LeasesEnded counts how often the lease on the knowledge of software versions ended (lease.go).
	LeasesEnded metrics.Counter
	PermitWait  metrics.Histogram // milliseconds until a permit was granted
	FirstByte   metrics.Histogram // milliseconds
	Total       metrics.Histogram // milliseconds
	// LoadUnderestimate is the number of requests by which a replica's reported load exceeded the
	// estimate that it was chosen by, without the request itself. Coverage is the percentage
	// of the fleet's daemons that the estimate included. Together they show whether the load
	// bound of routing holds, and if not, whether missing load reports are the cause.
	LoadUnderestimate metrics.Histogram
	Coverage          metrics.Histogram
}

// sampleSize and sampleAlpha are the parameters of the histograms' exponentially decaying samples.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// newMetrics returns the metrics of one daemon.
func newMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	for name, c := range map[string]*metrics.Counter{
		"requests_total":                  &m.Requests,
		"answered_total":                  &m.Answered,
		"not_run_total":                   &m.NotRun,
		"may_have_run_total":              &m.MayHaveRun,
		"caller_gone_total":               &m.CallerGone,
		"broken_off_total":                &m.BrokenOff,
		"broken_off_across_configs_total": &m.BrokenOffAcrossConfigs,
		"denied_total":                    &m.Denied,
		"panics_total":                    &m.Panics,
		"accept_errors_total":             &m.AcceptErrors,
		"repeats_total":                   &m.Retries,
		"loans_asked_total":               &m.TransfersRequested,
		"loans_given_total":               &m.TransfersGranted,
		"permits_asked_total":             &m.PermitsAsked,
		"permits_granted_total":           &m.PermitsGranted,
		"permits_refused_total":           &m.PermitsRefused,
		"permits_alone_total":             &m.PermitsAlone,
		"coordinators_silent_total":       &m.CoordinatorsSilent,
		"origins_recorded_total":          &m.OriginsRecorded,
		"origins_resent_total":            &m.OriginsResent,
		"connections_dropped_total":       &m.ConnectionsDropped,
		"caller_resumes_total":            &m.CallerResumes,
		"resumes_only_version_total":      &m.ResumesOnlyVersion,
		"resumes_own_record_total":        &m.ResumesOwnRecord,
		"resumes_holder_total":            &m.ResumesHolder,
		"version_leases_ended_total":      &m.LeasesEnded,
		"resumes_unknown_total":           &m.ResumesUnknown,
		"resumes_version_gone_total":      &m.ResumesVersionGone,
		"new_version_streams_total":       &m.NewVersionStreams,
		"spilled_total":                   &m.Spilled,
		"prompts_copied_total":            &m.PromptsCopied,
		"new_connections_total":           &m.NewConnections,
		"passed_over_total":               &m.Ejections,
		"found_silent_total":              &m.ReportedSilent,
		"links_lost_total":                &m.LinksLost,
		"detour_connections_total":        &m.DetourConnections,
		"carried_connections_total":       &m.CarriedConnections,
		"crowded_total":                   &m.Overloaded,
		"ended_under_total":               &m.Crashed,
		"contents_held_total":             &m.ContentsQuarantined,
		"parts_held_total":                &m.PartsQuarantined,
		"refused_for_parts_total":         &m.RefusedForParts,
		"refused_for_bodies_total":        &m.RefusedForBodies,
		"rests_asked_total":               &m.BackoffsRequested,
		"resting_total":                   &m.BackoffsBegun,
		"all_resting_total":               &m.AllBackingOff,
		"leaving_said_total":              &m.DeparturesAnnounced,
		"not_understood_total":            &m.InvalidFields,
		"brittle_total":                   &m.BrittleBegun,
		"rejected_total":                  &m.Rejections,
		"rejected_brittle_total":          &m.BrittleRejections,
		"unusable_entries_total":          &m.UnusableEntries,
		"turned_cold_total":               &m.TurnedCold,
		"evacuations_total":               &m.Evacuations,
		"peers_restarted_total":           &m.PeersRestarted,
		"memory_near_limit_total":         &m.MemoryNearLimit,
		"store_calls_total":               &m.StoreCalls,
		"store_eras_total":                &m.StoreEras,
		"store_older_total":               &m.OlderStoreResponses,
		"pulls_total":                     &m.Syncs,
		"pulled_bytes_total":              &m.SyncedBytes,
		"beat_bytes_total":                &m.HeartbeatBytes,
		"beats_sent_total":                &m.HeartbeatsSent,
		"beats_heard_total":               &m.HeartbeatsReceived,
	} {
		*c = metrics.NewRegisteredCounter(name, m.registry)
	}
	m.ConnEnds, m.DetourConnEnds = make(map[relay.ConnEnd]metrics.Counter), make(map[relay.ConnEnd]metrics.Counter)
	for _, e := range []relay.ConnEnd{relay.ConnClosed, relay.ConnReset, relay.ConnTimedOut} {
		m.ConnEnds[e] = metrics.NewRegisteredCounter("response_"+string(e)+"_total", m.registry)
		m.DetourConnEnds[e] = metrics.NewRegisteredCounter("detour_response_"+string(e)+"_total", m.registry)
	}
	for _, b := range []routing.EndBasis{routing.EndByLength, routing.EndByChunks, routing.EndByConnection, routing.EndByPeerReport, routing.EndByPeer} {
		m.endsBy(b)
	}
	m.Memory = metrics.NewRegisteredGauge("memory_bytes", m.registry)
	m.MemoryMax = metrics.NewRegisteredGauge("memory_max_bytes", m.registry)
	m.PermitWait = metrics.NewRegisteredHistogram("permit_wait_ms", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.FirstByte = metrics.NewRegisteredHistogram("first_byte_ms", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.Total = metrics.NewRegisteredHistogram("total_ms", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.LoadUnderestimate = metrics.NewRegisteredHistogram("load_missed", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.Coverage = metrics.NewRegisteredHistogram("load_coverage_percent", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	return m
}

// permitGranted updates the metrics for a permit that was granted after a wait.
func (m *Metrics) permitGranted(waited time.Duration) {
	m.PermitsGranted.Inc(1)
	m.PermitWait.Update(waited.Milliseconds())
}

// endsBy returns the counter of the responses that were read whole, by how their end was known.
func (m *Metrics) endsBy(b routing.EndBasis) metrics.Counter {
	return metrics.GetOrRegisterCounter("response_end_"+string(b)+"_total", m.registry)
}

// countEnd updates the metrics for the end of an attempt's response and of its connection.
func (m *Metrics) countEnd(a *relay.Attempt) {
	if a.End != routing.EndUnknown {
		m.endsBy(a.End).Inc(1)
	}
	ends := m.ConnEnds
	if a.Via != "" {
		ends = m.DetourConnEnds
	}
	if c := ends[a.ConnEnd]; c != nil {
		c.Inc(1)
	}
}

// countRejection updates the metrics for an attempt that a replica may have rejected.
func (m *Metrics) countRejection(a *relay.Attempt) {
	if !a.Rejected {
		return
	}
	m.Rejections.Inc(1)
	if a.Brittle {
		m.BrittleRejections.Inc(1)
	}
}

// finished updates the metrics for a completed request.
func (m *Metrics) finished(c *relay.Call, s *relay.Summary) {
	m.Requests.Inc(1)
	for i := range s.Attempts {
		m.countRejection(&s.Attempts[i])
		m.countEnd(&s.Attempts[i])
	}
	switch s.Outcome.(type) {
	case coordination.Answered:
		m.Answered.Inc(1)
	case coordination.NotRun:
		m.NotRun.Inc(1)
	case coordination.MayHaveRun:
		m.MayHaveRun.Inc(1)
	}
	switch coordination.Reason(reasonOf(s.Outcome)) {
	case coordination.ReasonBackingOff:
		m.AllBackingOff.Inc(1)
	case coordination.ReasonOriginUnknown:
		m.ResumesUnknown.Inc(1)
	case coordination.ReasonVersionGone:
		m.ResumesVersionGone.Inc(1)
	}
	if s.QuarantinedPart != "" {
		m.RefusedForParts.Inc(1)
	}
	if c.LastEventID != "" {
		m.CallerResumes.Inc(1)
	}
	switch s.Binding.By {
	case relay.OriginOnlyVersion:
		m.ResumesOnlyVersion.Inc(1)
	case relay.OriginOwnRecord:
		m.ResumesOwnRecord.Inc(1)
	case relay.OriginHolder:
		m.ResumesHolder.Inc(1)
	}
	if s.CallerGone {
		m.CallerGone.Inc(1)
	}
	if s.EndedBy == relay.EndedByDaemon {
		m.BrokenOff.Inc(1)
		if s.ConfigVersion != c.ConfigVersion {
			m.BrokenOffAcrossConfigs.Inc(1)
		}
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
		if t.NewVersion {
			m.NewVersionStreams.Inc(1)
		}
		if t.Rank > 0 {
			m.Spilled.Inc(1)
		}
		if t.PromptSource != "" {
			m.PromptsCopied.Inc(1)
		}
		if !t.Reused {
			m.NewConnections.Inc(1)
			if t.Via != "" {
				m.DetourConnections.Inc(1)
			}
		}
		if t.Reported.Known {
			m.LoadUnderestimate.Update(int64(max(0, t.Reported.Requests-1-t.Load)))
			m.Coverage.Update(int64(percent * t.LoadCoverage))
		}
	}
}

const percent = 100

// quantiles are the exported quantiles of the histograms.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all metrics in the text format of [transport.WriteMetrics].
func (m *Metrics) WriteText(w io.Writer) error {
	return transport.WriteMetrics(w, m.registry, quantiles)
}
