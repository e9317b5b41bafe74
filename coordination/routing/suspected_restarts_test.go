package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// startOf returns a start of replica r at a software version.
func startOf(start routing.StartTime, version routing.SoftwareVersion) routing.Replica {
	return routing.NewReplica(routing.Replica{ID: "r", Service: "s", StartTime: start, Version: version})
}

// viewOf returns a view with entries of ready replicas.
func viewOf(ready ...routing.Replica) *routing.View {
	p := &routing.Pool{Ready: ready}
	p.Sort()
	return &routing.View{Pools: map[routing.ServiceName]*routing.Pool{"s": p}}
}

// TestConnectionsAfterASignAreInDoubtUntilARead guards against streams of two software versions: a daemon sent a stream that
// began at one version to a replica that had started again at another one 14 ms before, by its former entry.
func TestConnectionsAfterASignAreInDoubtUntilARead(t *testing.T) {
	former := startOf(1, "v1")
	sign, opened := epoch, epoch.Add(50*time.Millisecond)
	known, inDoubt, differs := routing.StartKnown, routing.StartInDoubt, routing.StartDiffers
	for _, c := range []struct {
		name    string
		entries []routing.Replica
		read    time.Duration // after the connection was opened
		want    routing.ConnectionStart
	}{
		{"read before", []routing.Replica{former}, -time.Millisecond, inDoubt},
		{"read before the replica's entry can be in the store", []routing.Replica{former}, 99 * time.Millisecond, inDoubt},
		{"read after", []routing.Replica{former}, 100 * time.Millisecond, known},
		{"another start at another version", []routing.Replica{startOf(2, "v2")}, -time.Millisecond, differs},
		{"another start at the same version", []routing.Replica{startOf(2, "v1")}, -time.Millisecond, known},
		{"no entry, read before", nil, 99 * time.Millisecond, inDoubt},
		{"no entry, read after", nil, 100 * time.Millisecond, differs},
	} {
		var s routing.SuspectedRestarts
		s.Suspect(former.Incarnation(), sign)
		if got := s.Start(viewOf(c.entries...), &former, opened, opened.Add(c.read)); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	var s routing.SuspectedRestarts
	s.Suspect(former.Incarnation(), sign)
	if got := s.Start(viewOf(former), &former, opened, time.Time{}); got != inDoubt {
		t.Errorf("nothing was read: %d, want %d", got, inDoubt)
	}
}

// TestResponsesOnFormerConnectionsSettleSigns guards against streams that are broken off at a replica that runs on: one connection to it
// broke, and with the store away nothing else could show that its entry is right.
func TestResponsesOnFormerConnectionsSettleSigns(t *testing.T) {
	former := startOf(1, "v1")
	first, last := epoch, epoch.Add(time.Second)
	after := last.Add(time.Millisecond)
	known, inDoubt := routing.StartKnown, routing.StartInDoubt
	for _, c := range []struct {
		name         string
		opened, sent time.Time
		again        time.Time // of a further sign; zero: there is none
		want         routing.ConnectionStart
	}{
		{"opened before the first sign, sent after the last", first.Add(-time.Millisecond), after, time.Time{}, known},
		{"opened after the first sign", first.Add(time.Millisecond), after, time.Time{}, inDoubt},
		{"sent before the last sign", first.Add(-time.Millisecond), last, time.Time{}, inDoubt},
		{"another sign since", first.Add(-time.Millisecond), after, after.Add(time.Millisecond), inDoubt},
		{"a report of a sign before", first.Add(-time.Millisecond), after, last.Add(-time.Millisecond), known},
	} {
		var s routing.SuspectedRestarts
		s.Suspect(former.Incarnation(), last)
		s.Suspect(former.Incarnation(), first) // reports may come late
		s.RecordResponse(former.Incarnation(), c.opened, c.sent)
		if !c.again.IsZero() {
			s.Suspect(former.Incarnation(), c.again)
		}
		if got := s.Start(viewOf(former), &former, after.Add(time.Second), epoch.Add(-time.Minute)); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestConnectionsWithoutASignAreKnown guards against first events that wait while no connection broke.
func TestConnectionsWithoutASignAreKnown(t *testing.T) {
	former, other, unborn := startOf(1, "v1"), startOf(2, "v1"), startOf(0, "v1")
	var s routing.SuspectedRestarts
	s.Suspect(other.Incarnation(), epoch)
	s.Suspect(unborn.Incarnation(), epoch)
	for _, r := range []routing.Replica{former, unborn} {
		if got := s.Start(viewOf(r), &r, epoch, epoch.Add(-time.Second)); got != routing.StartKnown {
			t.Errorf("start %d: %d, want %d", r.StartTime, got, routing.StartKnown)
		}
	}
}

// TestAllStartsAreSuspectedAfterADaemonStarted guards against streams of two versions through a daemon that did not run when a
// replica terminated, so that no connection of its own broke.
func TestAllStartsAreSuspectedAfterADaemonStarted(t *testing.T) {
	former, unborn := startOf(1, "v1"), startOf(0, "v1")
	for _, c := range []struct {
		name   string
		r      routing.Replica
		opened time.Duration // after the daemon started
		read   time.Duration // after the connection was opened
		want   routing.ConnectionStart
	}{
		{"just started", former, 0, 0, routing.StartInDoubt},
		{"just started, read since", former, 0, 100 * time.Millisecond, routing.StartKnown},
		{"just before the end of that time", former, 3*time.Second - 1, 0, routing.StartInDoubt},
		{"after it", former, 3 * time.Second, 0, routing.StartKnown},
		{"its entry names no start", unborn, 0, 0, routing.StartKnown},
	} {
		var s routing.SuspectedRestarts
		s.Begin(epoch)
		opened := epoch.Add(c.opened)
		if got := s.Start(viewOf(c.r), &c.r, opened, opened.Add(c.read)); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestNewEntriesTellAnotherStart guards against a stream that goes on at a replica whose entry changed after the connection was
// opened, though no connection to it broke here.
func TestNewEntriesTellAnotherStart(t *testing.T) {
	former := startOf(1, "v1")
	for _, c := range []struct {
		name    string
		entries []routing.Replica
		want    routing.ConnectionStart
	}{
		{"at another version", []routing.Replica{startOf(2, "v2")}, routing.StartDiffers},
		{"at the same version", []routing.Replica{startOf(2, "v1")}, routing.StartKnown},
		{"no entry", nil, routing.StartKnown},
	} {
		var s routing.SuspectedRestarts
		if got := s.Start(viewOf(c.entries...), &former, epoch, epoch); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestSuspicionEndsWithAConnectionAfterTheLastSign guards against a replica whose streams wait long after one connection
// broke, and against one that a connection of before the last sign clears.
func TestSuspicionEndsWithAConnectionAfterTheLastSign(t *testing.T) {
	former := startOf(1, "v1")
	for _, c := range []struct {
		opened time.Duration // after the last sign
		want   routing.ConnectionStart
	}{{-time.Millisecond, routing.StartInDoubt}, {0, routing.StartKnown}} {
		var s routing.SuspectedRestarts
		s.Suspect(former.Incarnation(), epoch.Add(-time.Second))
		s.Suspect(former.Incarnation(), epoch)
		read := epoch.Add(time.Second)
		if got := s.Start(viewOf(former), &former, epoch.Add(c.opened), read); got != routing.StartKnown {
			t.Errorf("opened %v after the sign, read: %d", c.opened, got)
		}
		if got := s.Start(viewOf(former), &former, read, read); got != c.want {
			t.Errorf("after one that was opened %v after the sign: %d, want %d", c.opened, got, c.want)
		}
	}
}

// TestReportsOfBeforeASettledConnectionAreIgnored guards against streams that wait since a report of another daemon came late.
func TestReportsOfBeforeASettledConnectionAreIgnored(t *testing.T) {
	former := startOf(1, "v1")
	for _, c := range []struct {
		at   time.Duration // of the sign, after the settled connection was opened
		want routing.ConnectionStart
	}{{0, routing.StartKnown}, {time.Millisecond, routing.StartInDoubt}} {
		var s routing.SuspectedRestarts
		s.Suspect(former.Incarnation(), epoch.Add(-time.Second))
		read := epoch.Add(time.Second)
		s.Start(viewOf(former), &former, epoch, read)
		s.Suspect(former.Incarnation(), epoch.Add(c.at))
		if got := s.Start(viewOf(former), &former, read, read); got != c.want {
			t.Errorf("a sign of %v after it: %d, want %d", c.at, got, c.want)
		}
	}
}

// TestReadsAreExpectedForTheLease guards against streams that wait while no daemon can read the store.
func TestReadsAreExpectedForTheLease(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {membership.VersionLease - 1, true}, {membership.VersionLease, false}} {
		if got := routing.ExpectsRead(epoch.Add(-c.age), epoch); got != c.want {
			t.Errorf("read %v before: %t, want %t", c.age, got, c.want)
		}
	}
	if routing.ExpectsRead(time.Time{}, epoch) {
		t.Error("expected though nothing was ever read")
	}
}

// TestSuspicionsOfUnwantedReplicasAreForgotten guards against a table that grows with each replica that has ever terminated.
func TestSuspicionsOfUnwantedReplicasAreForgotten(t *testing.T) {
	gone, kept := startOf(1, "v1"), startOf(2, "v1")
	var s routing.SuspectedRestarts
	s.Suspect(gone.Incarnation(), epoch)
	s.Suspect(kept.Incarnation(), epoch)
	s.Forget(func(i routing.Incarnation) bool { return i == kept.Incarnation() })
	for _, c := range []struct {
		r    routing.Replica
		want routing.ConnectionStart
	}{{gone, routing.StartKnown}, {kept, routing.StartInDoubt}} {
		if got := s.Start(viewOf(c.r), &c.r, epoch, epoch); got != c.want {
			t.Errorf("start %d: %d, want %d", c.r.StartTime, got, c.want)
		}
	}
}
