package soak

import (
	"context"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestConfigurationsByHand plays the plan that the environment gives, and prints what was broken off:
//
//	CONFIGURATIONS_DAEMON=PROGRAM CONFIGURATIONS=silent_replicas,garbled CONFIGURATIONS_SEED=1 \
//	CONFIGURATIONS_FOR=30s go test -run ByHand -v ./internal/soak
func TestConfigurationsByHand(t *testing.T) {
	daemon := os.Getenv("CONFIGURATIONS_DAEMON")
	if daemon == "" {
		t.Skip("CONFIGURATIONS_DAEMON is not set")
	}
	var conditions []Condition
	for c := range strings.SplitSeq(os.Getenv("CONFIGURATIONS"), ",") {
		if c != "" {
			conditions = append(conditions, Condition(c))
		}
	}
	seed, _ := strconv.ParseUint(os.Getenv("CONFIGURATIONS_SEED"), 10, 64)
	length, err := time.ParseDuration(os.Getenv("CONFIGURATIONS_FOR"))
	if err != nil {
		length = 30 * time.Second
	}
	dir := os.Getenv("CONFIGURATIONS_DIR")
	if dir == "" {
		dir = t.TempDir()
	}
	r, err := PlayConfigurations(context.Background(), NewConfigurationsPlan(seed, length, conditions...), Options{Daemon: daemon, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, seed %d: %s", daemon, seed, r.Table())
	if len(r.Lost) > 0 || len(r.Panics) > 0 {
		t.Errorf("%d responses were broken off by daemons, %d panics", len(r.Lost), len(r.Panics))
	}
}

// TestConfigurationsPlan guards against a plan that is not determined by its seed, that lacks a kind of change, or
// whose conditions do not occur around configurations.
func TestConfigurationsPlan(t *testing.T) {
	seen := make(map[ConfigurationChange]bool)
	for seed := range uint64(20) {
		p := NewConfigurationsPlan(seed, 30*time.Second, SilentReplicas, Garbled)
		if again := NewConfigurationsPlan(seed, 30*time.Second, SilentReplicas, Garbled); !reflect.DeepEqual(p, again) {
			t.Fatalf("seed %d: %+v and %+v", seed, p, again)
		}
		for _, s := range p.Steps {
			seen[s.Change] = true
		}
		for _, f := range p.Around {
			near := slices.ContainsFunc(p.Steps, func(s PlannedStep) bool { return f.At >= s.At-maxLead && f.At <= s.At+maxLag })
			if !near {
				t.Errorf("seed %d: %s at %v is not around a configuration", seed, f.Condition, f.At)
			}
		}
		if !slices.ContainsFunc(p.Around, func(f PlannedFault) bool { return f.Condition == SilentReplicas }) {
			t.Errorf("seed %d: no replica falls silent", seed)
		}
	}
	for _, c := range configurationChanges {
		if !seen[c] {
			t.Errorf("%s is never planned", c)
		}
	}
}

// TestCauseOfBrokenResponse guards against a judge that blames a daemon for what a replica or a deadline ended, or
// that overlooks what a daemon broke off.
func TestCauseOfBrokenResponse(t *testing.T) {
	sent := time.Unix(1000, 0)
	e := func(took time.Duration, err string) *exchangeRecord {
		return &exchangeRecord{Sent: sent, Ended: sent.Add(took), Timeout: 8 * time.Second, Status: 200, Err: err}
	}
	complete := e(time.Second, "")
	complete.Complete = true
	run := func(end string) []*servedRun { return []*servedRun{{End: end}} }
	for _, k := range []struct {
		name  string
		e     *exchangeRecord
		runs  []*servedRun
		ends  []daemonEnd
		cause string
	}{
		{"complete", complete, run("complete"), nil, ""},
		{"refused", &exchangeRecord{Sent: sent, Ended: sent, Status: 503}, nil, nil, ""},
		{"no daemon", &exchangeRecord{Daemon: -1, Err: "no connection to a daemon"}, nil, nil, ""},
		{"at the deadline", e(8*time.Second, "read body: EOF"), run("closed"), nil, endDeadline},
		{"after seven tenths of the time", e(5700*time.Millisecond, "read body: EOF"), run("closed"), nil, endDeadline},
		{"before seven tenths of the time", e(5500*time.Millisecond, "read body: EOF"), run("closed"), nil, endDaemon},
		{"by the replica", e(time.Second, "read body: EOF"), run("broken"), nil, endReplica},
		{"by the daemon, at the second replica", e(time.Second, "read body: EOF"), append(run("broken"), run("closed")...), nil, endDaemon},
		{"by the daemon, after a rejection", e(time.Second, "read body: EOF"), append(run("closed"), run("rejected")...), nil, endDaemon},
		{"by the daemon, though the replica completed it", e(time.Second, "read body: EOF"), run("complete"), nil, endDaemon},
		{"the daemon ended", e(time.Second, "read body: EOF"), run("closed"), []daemonEnd{{At: sent.Add(1500 * time.Millisecond)}}, endDaemonEnded},
		{"another daemon ended", e(time.Second, "read body: EOF"), run("closed"), []daemonEnd{{Daemon: 1, At: sent.Add(1500 * time.Millisecond)}}, endDaemon},
		{"closed at once, at no replica", e(100*time.Millisecond, "read header: EOF"), nil, nil, endNotPassed},
		{"closed later, at no replica", e(300*time.Millisecond, "read header: EOF"), nil, nil, endDaemon},
		{"short", e(time.Second, "ended as complete after 3 of 32 events"), run("complete"), nil, endShort},
	} {
		if got := causeOf(k.e, k.runs, k.ends); got != k.cause {
			t.Errorf("%s: %q, want %q", k.name, got, k.cause)
		}
	}
}
