// This file judges runs with configurations in series: which responses were broken off, who did it, and which of
// them the daemon had no reason for. What the daemon's log says about a request is reported, but not judged.
//
// The inputs are what callers and replicas recorded, and when the daemons' processes ended. The rule, for a
// response whose connection ended before it was complete:
//
//  1. After the request's time, less deadlineSlackShare, it ended for its deadline.
//  2. If the replica that had it broke it off, it ended for that.
//  3. If no replica had it and it ended within passedOnAfter, it was not passed on.
//  4. Otherwise the daemon broke it off. Its own end counts, and the loss of its links to replicas.
//
// Whatever the cause, a stream that ends as complete must have all its events.

package soak

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	deadlineSlackShare = 0.3
	passedOnAfter      = 200 * time.Millisecond
	// aroundConfiguration is how long after its publication a configuration counts.
	aroundConfiguration = 3 * time.Second
)

// Causes of responses that were broken off.
const (
	endDeadline    = "deadline"
	endReplica     = "replica broke it off"
	endNotPassed   = "not passed on"
	endDaemonEnded = "daemon ended"
	endDaemon      = "daemon broke it off"
	endShort       = "short but complete"
)

// ConfigurationsReport is the result of a run.
type ConfigurationsReport struct {
	Plan       *ConfigurationsPlan `json:"plan"`
	Requests   int                 `json:"requests"`
	Served     int                 `json:"served"`
	Refused    map[string]int      `json:"refused"`    // by status and reason
	BrokenOff  map[string]int      `json:"broken_off"` // by cause, route and what the log says
	Lost       []BrokenOff         `json:"lost"`       // by a daemon
	Ends       []daemonEnd         `json:"ends"`
	MaxMemory  int64               `json:"max_memory_mb"`
	Suspended  int64               `json:"suspended"` // times that daemons had used up their share of a core
	Panics     []string            `json:"panics"`    // lines of the daemons' logs
	Published  int                 `json:"published"`
	Notes      []string            `json:"notes"`
	LogDropped []string            `json:"log_dropped"`
}

// BrokenOff is a response that was broken off, with all that is known about it.
type BrokenOff struct {
	Cause  string          `json:"cause"`
	Around bool            `json:"around"` // a configuration
	Caller *exchangeRecord `json:"caller"`
	Runs   []*servedRun    `json:"runs"`
	Line   string          `json:"line"` // of the daemon's log
}

// causeOf returns why a response was broken off, or an empty string if it was not.
func causeOf(e *exchangeRecord, runs []*servedRun, ends []daemonEnd) string {
	if e.Complete || e.Daemon < 0 {
		return ""
	}
	if strings.HasPrefix(e.Err, "ended as complete") {
		return endShort
	}
	if e.Err == "" { // a complete refusal
		return ""
	}
	took := e.Ended.Sub(e.Sent)
	switch {
	case took > time.Duration((1-deadlineSlackShare)*float64(e.Timeout)):
		return endDeadline
	case slices.ContainsFunc(ends, func(d daemonEnd) bool {
		since := d.At.Sub(e.Ended)
		return d.Daemon == e.Daemon && since > -memoryPoll && since < restartPause+2*memoryPoll+settling
	}):
		return endDaemonEnded
	case len(runs) > 0 && runs[len(runs)-1].End == "broken":
		return endReplica
	case len(runs) == 0 && took <= passedOnAfter:
		return endNotPassed
	}
	return endDaemon
}

// requestID finds the request in a line of a daemon's log.
var requestID = regexp.MustCompile(`"request":"([^"]*)"`)

// readLogs returns the lines about requests that ended, by request, and the lines about panics and fatal errors.
func readLogs(dir string) (lines map[string]string, panics, dropped []string, err error) {
	lines = make(map[string]string)
	for i := range pacedDaemons {
		f, err := os.Open(filepath.Join(dir, fmt.Sprintf("daemon-%d.log", i)))
		if err != nil {
			return nil, nil, nil, eris.Wrap(err, "read a daemon's log")
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			line := s.Text()
			switch id := requestID.FindStringSubmatch(line); {
			case id != nil && strings.Contains(line, `"message":"request: ended"`):
				lines[id[1]] = line
			case strings.Contains(line, "panic") || strings.Contains(line, "fatal error") || strings.Contains(line, "DATA RACE"):
				panics = append(panics, line)
			case strings.Contains(line, "lines were dropped"):
				dropped = append(dropped, line)
			}
		}
		err = s.Err()
		_ = f.Close()
		if err != nil {
			return nil, nil, nil, eris.Wrap(err, "read a daemon's log")
		}
	}
	return lines, panics, dropped, nil
}

var logFields = regexp.MustCompile(`"(outcome|reason|error|gone)":("[^"]*"|true|false)`)

// summaryOf returns what the line of a request says about its end.
func summaryOf(line string) string {
	if line == "" {
		return "no line"
	}
	var out []string
	for _, m := range logFields.FindAllStringSubmatch(line, -1) {
		out = append(out, addresses.ReplaceAllString(m[2], "ADDRESS"))
	}
	return strings.Join(out, " ")
}

var addresses = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// report judges the run and writes the report beside the daemons' logs.
func (w *configurationsRun) report(dir string) (*ConfigurationsReport, error) {
	lines, panics, dropped, err := readLogs(dir)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	out := &ConfigurationsReport{
		Plan: w.plan, Requests: len(w.exchanges), Refused: make(map[string]int), BrokenOff: make(map[string]int), Ends: w.ends, MaxMemory: w.maxMemory, Suspended: w.suspensions.Load(),
		Panics: panics, Published: len(w.published), Notes: w.notes, LogDropped: dropped,
	}
	for _, e := range w.exchanges {
		if e.Complete {
			out.Served++
			continue
		}
		runs := w.runs.runs[e.ID]
		cause := causeOf(e, runs, w.ends)
		if cause == "" {
			out.Refused[fmt.Sprintf("%s %d %s", e.Route, e.Status, e.Reason)]++
			continue
		}
		out.BrokenOff[fmt.Sprintf("%s | %s | status %d | %s", cause, e.Route, e.Status, summaryOf(lines[e.ID]))]++
		if cause == endDaemon || cause == endDaemonEnded || cause == endShort {
			around := slices.ContainsFunc(w.published, func(at time.Time) bool {
				return e.Ended.After(at) && e.Sent.Before(at.Add(aroundConfiguration))
			})
			out.Lost = append(out.Lost, BrokenOff{cause, around, e, runs, lines[e.ID]})
		}
	}
	text, err := json.MarshalIndent(out, "", " ")
	if err != nil {
		return nil, eris.Wrap(err, "encode report")
	}
	return out, eris.Wrap(os.WriteFile(filepath.Join(dir, "report.json"), text, 0o600), "write report")
}

// Table returns the counts of a report, a line each.
func (r *ConfigurationsReport) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: %d requests, %d served, %d configurations, %d MB at most, %d suspensions, %d ends, %d panics\n", r.Plan.Conditions, r.Requests, r.Served, r.Published, r.MaxMemory, r.Suspended, len(r.Ends), len(r.Panics))
	for name, counts := range map[string]map[string]int{"broken off": r.BrokenOff, "refused": r.Refused} {
		for _, k := range slices.SortedFunc(maps.Keys(counts), func(a, c string) int { return cmp.Compare(counts[c], counts[a]) }) {
			fmt.Fprintf(&b, "  %s %5d  %s\n", name, counts[k], k)
		}
	}
	return b.String()
}
