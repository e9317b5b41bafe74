package routes

import (
	"bytes"
	"encoding/json"
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/internal/golden"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/relay"
)

// These tests check the formats that other builds, scrapers and operators' scripts read, byte
// by byte or name by name. A change here changes a published interface: a fleet runs two
// builds during each upgrade.

// TestMetricsKeepTheirNames checks the names of the metrics.
func TestMetricsKeepTheirNames(t *testing.T) {
	var b bytes.Buffer
	if err := newMetrics().WriteText(&b); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "metrics.txt", b.String())
}

// TestOperatorsAnswersKeepTheirFields checks the JSON of the responses to operators.
func TestOperatorsAnswersKeepTheirFields(t *testing.T) {
	var b strings.Builder
	for _, a := range []any{StatusAnswer{}, MemberAnswer{}, ReplicaAnswer{Why: "silent"}, HeldAnswer{Part: "p"}, AdmissionAnswer{ByUrgency: []UrgencyAnswer{{}}, ByWorkspace: []WorkspaceAnswer{{}}}} {
		text, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		b.Write(append(text, '\n'))
	}
	golden.Compare(t, "operators.txt", b.String())
}

// fieldName matches the field names of a log line.
var fieldName = regexp.MustCompile(`"([a-z_]+)":`)

// TestLogLinesKeepTheirFields checks the field names of log lines, by which operators' scripts
// filter. The messages are not part of the interface.
func TestLogLinesKeepTheirFields(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "debug", "d1", newMetrics())
	replica := routing.NewReplica(routing.Replica{ID: "i-1"})
	call := &relay.Call{Request: routing.Request{ID: "r1", Route: &routing.Route{Name: "n"}, Prompt: []routing.PromptPart{{ID: "p", Tokens: 5}}}, LastEventID: "3"}
	summary := &relay.Summary{
		Outcome: coordination.NotRun{Reason: coordination.ReasonDeadline}, Status: 503, FirstByte: time.Second, Total: time.Second,
		QuarantinedPart: "p", EstablishmentWait: time.Second, StartWait: time.Second, Attempts: []relay.Attempt{{Replica: "i-1", Err: errors.New("e")}},
	}
	for _, write := range []func(){
		func() { l.Started("a") },
		func() { l.Statistics(1, 2) },
		func() { l.HeartbeatFailed(errors.New("e")) },
		func() { l.Reloaded(true, nil) },
		func() { l.Stopping() },
		func() { l.Stopped(errors.New("e")) },
		func() { l.Store(true, errors.New("e"), 1) },
		func() { l.Store(false, nil, 1) },
		func() { l.Documents(1, "store", feed.Position{Revision: 2}) },
		func() { l.Replica("i-1", "gone", 2) },
		func() { l.Rejected("k", errors.New("e")) },
		func() { l.ExpiredKept("s", 1, 2) },
		func() { l.Config(1, 2, "store") },
		func() { l.Paused(time.Second) },
		func() { l.Peer(membership.Member{Address: "10.0.0.1:1"}) },
		func() { l.SyncFailed("10.0.0.1:1", errors.New("e")) },
		func() { l.VersionsLearned("10.0.0.1:1", time.Second, 2) },
		func() { l.Lease(true, time.Second) },
		func() { l.VersionChanged(&routing.VersionChange{Service: "s", Version: "v1", Replicas: 2}) },
		func() {
			l.VersionChanged(&routing.VersionChange{Service: "s", Version: "v1", Replicas: 2, Known: time.Second, Basis: routing.EstablishedByTime})
		},
		func() { l.Denied("r1", routing.NoRoute) },
		func() { l.Ejected(&replica, call, errors.New("e")) },
		func() { l.Finished(call, summary) },
		func() { l.NotUnderstood("k", "w") },
		func() { l.Cold("i-1", time.Second, 2) },
		func() { l.Evacuation("z", true, 2) },
		func() { l.Overloaded(&replica, call, relay.ReportedLoad{Known: true, Requests: 9}) },
		func() { l.CrashedDuring(&replica, call, -1) },
		func() { l.Quarantined(5) },
		func() { l.PartQuarantined(5, "p") },
		func() { l.Released(5) },
		func() { l.Restarted("i-1", 5, 2) },
		func() { l.Unusable("k", 2, errors.New("e")) },
		func() { l.UnusableOthers(2) },
		func() { l.BackoffRequested(&replica, call, time.Second) },
		func() { l.BackoffLifted("i-1") },
		func() { l.Alive("i-1") },
		func() { l.DepartureAnnounced(&replica, call) },
		func() { l.DepartureReported("i-1") },
		func() { l.Replaced(&replica, call) },
		func() {
			l.StoreRestored(feed.Position{Era: 1, Revision: 9}, feed.Position{Era: 2, Revision: 5}, "store", 3, 4)
		},
		func() { l.PreRestoreDocuments(2, "gone") },
		func() { l.Saturated("s", true, "10.0.0.1:1", &admission.Status{}) },
		func() { l.CoordinatorSilent("s", "10.0.0.1:1") },
		func() {
			l.PermitRefused(&permitAsk{call: call}, &admission.Decided{Service: "s"}, time.Second, func() int { return 0 }, time.Now())
		},
		func() { l.BrittleBegan(routing.BrittleStatus{Service: "s", Limit: 3}) },
		func() { l.BrittleEnded(routing.BrittleStatus{Service: "s", Since: time.Unix(1, 0)}, time.Unix(2, 0)) },
		func() { l.Panicked("r1", "v", []byte("s")) },
		func() { l.ServerPanicked("10.0.0.1:1", "v", []byte("s")) },
		func() { l.AcceptFailed("10.0.0.1:1", errors.New("e")) },
		func() { l.Refused("r1", coordination.ReasonBodiesFull) },
		func() {
			l.PeerRestarted(membership.Restart{Member: membership.Member{Address: "10.0.0.1:1"}, Former: 1})
		},
		func() { l.MemoryNear(1, 2) },
		func() { l.MemoryFar(1, 2, 3, time.Second) },
		func() { l.SelfReported(&replica, call, relay.SelfReport{NotUnderstood: []string{"Retry-After: soon"}}) },
	} {
		write()
	}
	l.Close()
	var b strings.Builder
	for line := range strings.Lines(out.String()) {
		var names []string
		for _, m := range fieldName.FindAllStringSubmatch(line, -1) {
			names = append(names, m[1])
		}
		b.WriteString(strings.Join(names, " ") + "\n")
	}
	golden.Compare(t, "log.txt", b.String())
}

// TestSettingsKeepTheirKeys parses a file with every key. An unknown key would be an error.
func TestSettingsKeepTheirKeys(t *testing.T) {
	s, err := ParseSettings("f", []byte(`id: d1
domain: z
listen:
  callers: 10.0.0.1:1
  readiness: 10.0.0.1:2
  operators: 10.0.0.1:3
  peers: 10.0.0.1:4
  metrics: 10.0.0.1:5
peer_address: 10.0.0.9:4
store: 10.0.0.2:5
seeds: ["10.0.0.3:3"]
stop:
  grace: 8s
repeat:
  ratio: 0.3
  extra: 56
  window: 11s
memory_mb: 284
log_level: warn
`))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		ID: "d1", Domain: "z", PeerAddress: "10.0.0.9:4", Store: "10.0.0.2:5", Seeds: []string{"10.0.0.3:3"}, MemoryMB: 284, LogLevel: "warn",
		Listen: Listeners{Callers: "10.0.0.1:1", Readiness: "10.0.0.1:2", Operators: "10.0.0.1:3", Peers: "10.0.0.1:4", Metrics: "10.0.0.1:5"},
		Stop:   StopSettings{Grace: 8 * time.Second}, Retry: RetrySettings{Ratio: 0.3, Extra: 56, Window: 11 * time.Second},
	}
	got, _ := json.Marshal(s)
	expected, _ := json.Marshal(want)
	if !bytes.Equal(got, expected) {
		t.Errorf("got %s, want %s", got, expected)
	}
}
