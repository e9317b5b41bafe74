// This file writes metrics in the Prometheus text format.

package transport

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "hingewinch_"

// WriteMetrics writes the metrics of a registry in the Prometheus text format, sorted
// by line. Timers are in seconds. Timers and histograms are written as the given
// quantiles and a count.
func WriteMetrics(w io.Writer, r metrics.Registry, quantiles []float64) error {
	var lines []string
	r.Each(func(name string, v any) {
		lines = append(lines, metricLines(metricPrefix+name, v, quantiles)...)
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

func metricLines(name string, v any, quantiles []float64) []string {
	switch v := v.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, v.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, v.Value())}
	case metrics.Histogram:
		s := v.Snapshot()
		return quantileLines(name, s.Percentiles(quantiles), quantiles, 1, s.Count())
	case metrics.Timer:
		s := v.Snapshot()
		return quantileLines(name, s.Percentiles(quantiles), quantiles, float64(time.Second), s.Count())
	}
	return nil
}

func quantileLines(name string, values, quantiles []float64, unit float64, count int64) []string {
	var lines []string
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%v\"} %g", name, q, values[i]/unit))
	}
	return append(lines, fmt.Sprintf("%s_count %d", name, count))
}
