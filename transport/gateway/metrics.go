// This file defines the metrics of a daemon.

package gateway

import (
	"io"

	"github.com/rcrowley/go-metrics"

	"hingewinch.org/hingewinch/transport"
)

// Metrics holds the counters, gauges and timers of a daemon.
type Metrics struct {
	Registry metrics.Registry

	Requests      metrics.Counter
	Answered      metrics.Counter
	NotRun        metrics.Counter
	MayHaveRun    metrics.Counter
	Rejected      metrics.Counter
	Retries       metrics.Counter
	Resumes       metrics.Counter
	OpenStreams   metrics.Counter
	CallerGone    metrics.Counter
	AcceptErrors  metrics.Counter // connections that could not be accepted
	PlatformCalls metrics.Counter
	Exchanges     metrics.Counter
	ExchangeFails metrics.Counter
	ControlSent   metrics.Counter // bytes on peer and platform connections
	ControlRead   metrics.Counter
	LedgerKeys    metrics.Gauge
	LedgerBytes   metrics.Gauge
	FirstByte     metrics.Timer
}

// sampleSize and sampleAlpha configure the timers' reservoirs to cover about the last
// five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// NewMetrics returns the metrics of one daemon in their own registry.
func NewMetrics() *Metrics {
	r := metrics.NewRegistry()
	m := &Metrics{Registry: r}
	counters := map[string]*metrics.Counter{
		"requests_total":           &m.Requests,
		"answered_total":           &m.Answered,
		"not_run_total":            &m.NotRun,
		"may_have_run_total":       &m.MayHaveRun,
		"rejected_total":           &m.Rejected,
		"retries_total":            &m.Retries,
		"resumes_total":            &m.Resumes,
		"open_streams":             &m.OpenStreams,
		"caller_gone_total":        &m.CallerGone,
		"accept_errors_total":      &m.AcceptErrors,
		"platform_calls_total":     &m.PlatformCalls,
		"exchanges_total":          &m.Exchanges,
		"exchange_failures_total":  &m.ExchangeFails,
		"control_sent_bytes_total": &m.ControlSent,
		"control_read_bytes_total": &m.ControlRead,
	}
	for name, c := range counters {
		*c = metrics.NewRegisteredCounter(name, r)
	}
	m.LedgerKeys = metrics.NewRegisteredGauge("ledger_keys", r)
	m.LedgerBytes = metrics.NewRegisteredGauge("ledger_bytes", r)
	m.FirstByte = metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)), metrics.NewMeter())
	_ = r.Register("first_byte_seconds", m.FirstByte)
	return m
}

// Close stops the background work of the timers.
func (m *Metrics) Close() { m.FirstByte.Stop() }

// quantiles are the quantiles on the metrics page.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes all metrics as [transport.WriteMetrics] does.
func (m *Metrics) WriteText(w io.Writer) error {
	return transport.WriteMetrics(w, m.Registry, quantiles)
}
