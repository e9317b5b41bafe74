package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// establishing is the history of a daemon, with the positions that the other daemons hold.
type establishing struct {
	*routing.VersionHistory
	t       *testing.T
	now     time.Time
	allHold feed.Position // by all members; zero: the time alone decides
	own     feed.Position // of the daemon's documents
	changes []routing.VersionChange
}

func newEstablishing(t *testing.T) *establishing {
	return &establishing{VersionHistory: routing.NewVersionHistory(), t: t, now: epoch}
}

func versionReplica(s routing.ServiceName, v routing.SoftwareVersion) *routing.Replica {
	r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(s, v)), Service: s, Version: v})
	return &r
}

// join has replicas of service s join in one set of documents.
func (e *establishing) join(at feed.Position, versions ...routing.SoftwareVersion) {
	for _, v := range versions {
		e.Add(versionReplica("s", v))
	}
	e.learn(at)
}

func (e *establishing) learn(at feed.Position) {
	e.Learn(at, e.now)
	e.own = at
}

// leave has replicas of service s leave.
func (e *establishing) leave(at feed.Position, versions ...routing.SoftwareVersion) {
	for _, v := range versions {
		e.Remove(versionReplica("s", v), e.now)
	}
	e.learn(at)
}

// expect checks which versions of service s are new after a while.
func (e *establishing) expect(after time.Duration, want ...routing.SoftwareVersion) {
	e.t.Helper()
	e.now = e.now.Add(after)
	e.changes = append(e.changes, e.Establish(e.now, e.own, func(at feed.Position) bool {
		return e.allHold != feed.Position{} && !e.allHold.Before(at)
	})...)
	got := e.New()["s"]
	var keys []routing.VersionKey
	for _, v := range want {
		keys = append(keys, versionKey("s", v))
	}
	slices.Sort(got)
	slices.Sort(keys)
	if !slices.Equal(got, keys) {
		e.t.Errorf("%v after the start the new versions are %v, want %v (%v)", e.now.Sub(epoch), got, keys, want)
	}
}

func revision(r feed.Revision) feed.Position { return feed.Position{Era: 1, Revision: r} }

// TestVersionIsEstablishedByTime guards against streams that begin at a version while a daemon that does not know it may
// still take the service for one of a single version.
func TestVersionIsEstablishedByTime(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5), "v1")
	e.expect(time.Minute)
	e.join(revision(6), "v2")
	e.expect(0, "v2")
	e.expect(3500*time.Millisecond, "v2")
	e.expect(100 * time.Millisecond)
	if e.AwaitsEstablishment() {
		t.Error("still looks for established versions")
	}
}

// TestVersionIsEstablishedByPositions guards against a delay of seconds where all daemons have told that they know a
// version, and against a version that some daemon may not know.
func TestVersionIsEstablishedByPositions(t *testing.T) {
	for _, c := range []struct {
		name    string
		at      feed.Position // of the documents with the version
		allHold feed.Position
		isNew   bool
	}{
		{"all hold it", revision(6), revision(6), false},
		{"all hold later ones", revision(6), revision(60), false},
		{"one holds earlier ones", revision(6), revision(5), true},
		{"one holds a higher revision of the era before a restore", feed.Position{Era: 2, Revision: 6}, revision(90), true},
		{"all hold a lower revision of a later era", revision(6), feed.Position{Era: 2, Revision: 2}, false},
	} {
		e := newEstablishing(t)
		e.join(revision(5), "v1")
		e.now = e.now.Add(time.Minute)
		e.join(c.at, "v2")
		e.allHold = c.allHold
		var want []routing.SoftwareVersion
		if c.isNew {
			want = append(want, "v2")
		}
		t.Run(c.name, func(t *testing.T) {
			e.t = t
			e.expect(200*time.Millisecond, want...)
			// A daemon that starts afterwards has told nothing.
			e.allHold = feed.Position{}
			e.expect(200*time.Millisecond, want...)
		})
	}
}

// TestVersionOfAnUnfinishedListIsNotEstablishedByTime guards against a daemon that takes seconds to list the store, and begins streams at a
// version of an early page before its position tells of it: a daemon that hears all others and does not read the store takes
// its own documents for complete as long as nobody tells of newer ones.
func TestVersionOfAnUnfinishedListIsNotEstablishedByTime(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5), "v1")
	e.expect(time.Minute)
	e.join(revision(8), "v2")
	e.own = revision(5) // until the last page is read
	e.expect(0, "v2")
	e.expect(4*time.Second, "v2")
	e.own = revision(9)
	e.expect(200*time.Millisecond, "v2")
	e.expect(3300*time.Millisecond, "v2")
	e.expect(300 * time.Millisecond)

	// A peer has told of it before, in its position too.
	e.join(revision(12), "v3")
	e.own = revision(9)
	e.expect(0, "v3")
	e.Merge(&routing.VersionReport{At: revision(12), Versions: []routing.UsedVersion{{Service: "s", Version: versionKey("s", "v3"), KnownFor: 3 * time.Second}}}, e.now)
	e.expect(500*time.Millisecond, "v3")
	e.expect(100 * time.Millisecond)
}

// TestVersionsThatAreNotNew guards against streams that avoid replicas for no reason.
func TestVersionsThatAreNotNew(t *testing.T) {
	t.Run("the only one", func(t *testing.T) {
		e := newEstablishing(t)
		e.join(revision(1))
		e.now = e.now.Add(time.Minute)
		e.join(revision(5), "v1")
		e.expect(0)
		e.now = e.now.Add(time.Second)
		e.join(revision(6), "v1")
		e.join(revision(7), "v2")
		e.expect(0, "v2") // v1 was known first
	})
	t.Run("one whose replica's entry changes", func(t *testing.T) {
		e := newEstablishing(t)
		e.join(revision(5), "v1", "v2")
		e.now = e.now.Add(time.Minute)
		e.Remove(versionReplica("s", "v2"), e.now)
		e.join(revision(6), "v2")
		e.expect(0)
	})
	t.Run("one of another service", func(t *testing.T) {
		e := newEstablishing(t)
		e.join(revision(5), "v1")
		e.now = e.now.Add(time.Minute)
		e.Add(versionReplica("t", "v2"))
		e.Learn(revision(6), e.now)
		e.expect(0)
		if len(e.New()) > 0 {
			t.Errorf("new versions: %v", e.New())
		}
	})
}

// TestVersionsThatJoinTogetherAreNew guards against streams that begin at two versions which joined a service with one change, while
// a daemon that has read only the first part of it knows one of them.
func TestVersionsThatJoinTogetherAreNew(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(1))
	e.now = e.now.Add(time.Minute)
	e.join(revision(6), "v1", "v2")
	e.allHold = revision(5)
	e.expect(0, "v1", "v2")
	e.allHold = revision(6)
	e.expect(200 * time.Millisecond)
}

// TestVersionsOfFirstDocumentsAreNew guards against a daemon that starts just after a version has joined, and begins streams at
// it at once, since it can't tell which of several versions is the new one.
func TestVersionsOfFirstDocumentsAreNew(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5), "v1", "v2")
	e.expect(0, "v1", "v2")
	e.expect(3500*time.Millisecond, "v1", "v2")
	e.expect(100 * time.Millisecond)

	e = newEstablishing(t)
	e.join(revision(5), "v1", "v2")
	e.expect(0, "v1", "v2")
	e.allHold = revision(5)
	e.expect(200 * time.Millisecond)

	e = newEstablishing(t)
	e.join(revision(5), "v1")
	e.expect(0)
	e.join(revision(6), "v2")
	e.expect(0, "v2") // v1 was known first
}

// TestVersionThatComesAgainIsNew guards against streams that begin at a version that a daemon whose documents lack what
// came and went meanwhile has never known.
func TestVersionThatComesAgainIsNew(t *testing.T) {
	for _, gone := range []time.Duration{time.Second, 3 * time.Minute} {
		e := newEstablishing(t)
		e.join(revision(5), "v1", "v2")
		e.expect(time.Minute)
		e.leave(revision(6), "v2")
		e.expect(gone)
		e.Only(e.now)
		e.join(revision(7), "v2")
		e.allHold = revision(6)
		e.expect(0, "v2")
		e.allHold = revision(7)
		e.expect(0)
	}
}

// TestVersionThatLeavesIsNotEstablished guards against the first event of a stream that is passed on because the last entry of
// its version is gone, while another daemon may not know the version: its replica may still serve. It also guards against
// a version that comes again and is taken for established, and against one that stays new for good.
func TestVersionThatLeavesIsNotEstablished(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5), "v1")
	e.now = e.now.Add(time.Minute)
	e.join(revision(6), "v2")
	e.expect(0, "v2")
	e.leave(revision(7), "v2")
	e.allHold = revision(8) // who told that may never have had revision 6
	e.expect(time.Second, "v2")
	e.join(revision(9), "v2")
	e.expect(0, "v2")
	e.expect(3500*time.Millisecond, "v2")
	e.leave(revision(10), "v2")
	e.expect(99*time.Millisecond, "v2")
	changes := len(e.changes)
	e.expect(time.Millisecond)
	if len(e.changes) != changes+1 || e.AwaitsEstablishment() {
		t.Errorf("%d changes, want 1; still awaits: %t", len(e.changes)-changes, e.AwaitsEstablishment())
	}
}

// TestPeerTellsSinceWhenVersionsAreKnown guards against a daemon that starts during a release and begins streams at the
// version that joins, and against one that waits longer than its peers.
func TestPeerTellsSinceWhenVersionsAreKnown(t *testing.T) {
	used := func(v routing.SoftwareVersion, known time.Duration) routing.UsedVersion {
		return routing.UsedVersion{Service: "s", Version: versionKey("s", v), KnownFor: known}
	}
	for _, c := range []struct {
		name   string
		before []routing.SoftwareVersion // in the first documents, 10 s before
		comes  []routing.SoftwareVersion // now
		tells  []routing.UsedVersion
		want   []routing.SoftwareVersion // that are new
		left   time.Duration             // until v2 is established, if it is new
	}{
		{"a version of the first documents that has just joined", nil, []routing.SoftwareVersion{"v1", "v2"}, []routing.UsedVersion{used("v1", time.Minute), used("v2", time.Second)}, []routing.SoftwareVersion{"v2"}, 2600 * time.Millisecond},
		{"the peer does not know for how long the other one is known", nil, []routing.SoftwareVersion{"v1", "v2"}, []routing.UsedVersion{used("v1", 0), used("v2", time.Second)}, []routing.SoftwareVersion{"v1", "v2"}, 2600 * time.Millisecond},
		{"a version of the first documents that has long been known", nil, []routing.SoftwareVersion{"v1", "v2"}, []routing.UsedVersion{used("v1", time.Minute), used("v2", 4*time.Second)}, nil, 0},
		{"a peer of the previous build", nil, []routing.SoftwareVersion{"v1", "v2"}, []routing.UsedVersion{used("v1", 0), used("v2", 0)}, []routing.SoftwareVersion{"v1", "v2"}, 3600 * time.Millisecond},
		{"the only version", nil, []routing.SoftwareVersion{"v2"}, []routing.UsedVersion{used("v2", time.Second)}, nil, 0},
		{"the peer has known it for longer", []routing.SoftwareVersion{"v1"}, []routing.SoftwareVersion{"v2"}, []routing.UsedVersion{used("v1", time.Minute), used("v2", time.Second)}, []routing.SoftwareVersion{"v2"}, 2600 * time.Millisecond},
		{"the peer knows it as established", []routing.SoftwareVersion{"v1"}, []routing.SoftwareVersion{"v2"}, []routing.UsedVersion{used("v1", time.Minute), used("v2", 5*time.Second)}, nil, 0},
		{"the peer learned of it later", []routing.SoftwareVersion{"v1", "v2"}, nil, []routing.UsedVersion{used("v1", time.Minute), used("v2", time.Second)}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEstablishing(t)
			if c.before != nil {
				e.join(revision(5), c.before...)
				e.now = e.now.Add(10 * time.Second)
			}
			e.join(revision(6), c.comes...)
			e.Merge(&routing.VersionReport{At: revision(6), Complete: time.Minute, Versions: c.tells}, e.now)
			e.expect(0, c.want...)
			if c.left == 0 {
				return
			}
			e.expect(c.left-time.Millisecond, c.want...)
			e.expect(time.Millisecond, slices.DeleteFunc(c.want, func(v routing.SoftwareVersion) bool {
				return v == "v2" || c.left == 3600*time.Millisecond
			})...)
			e.expect(3600*time.Millisecond - c.left)
		})
	}
}

// TestReportTellsSinceWhenVersionsAreKnown guards against a peer that waits longer than this daemon has known a version, and
// against bytes for services of one version.
func TestReportTellsSinceWhenVersionsAreKnown(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5), "v1", "v3")
	e.Add(versionReplica("t", "v1"))
	e.now = e.now.Add(10 * time.Second)
	e.join(revision(6), "v2")
	e.Add(versionReplica("u", "v1"))
	e.leave(revision(7), "v3")
	got := make(map[routing.UsedVersion]bool)
	for _, u := range e.Report(revision(7), e.now.Add(time.Second)).Versions {
		got[u] = true
	}
	for _, want := range []routing.UsedVersion{
		{Service: "s", Version: versionKey("s", "v1"), KnownFor: 11 * time.Second},
		{Service: "s", Version: versionKey("s", "v2"), KnownFor: time.Second},
		{Service: "s", Version: versionKey("s", "v3"), LeftFor: time.Second},
		{Service: "t", Version: versionKey("t", "v1")},
		{Service: "u", Version: versionKey("u", "v1")},
	} {
		if !got[want] {
			t.Errorf("%+v is not told, but %v", want, got)
		}
	}
}

// TestChangesOfVersions guards against log lines that are missing, or written twice.
func TestChangesOfVersions(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5), "v1")
	e.now = e.now.Add(time.Minute)
	e.join(revision(6), "v2", "v2")
	e.expect(0, "v2")
	e.expect(time.Second, "v2")
	e.allHold = revision(6)
	e.expect(time.Second)
	e.allHold = feed.Position{}
	e.join(revision(7), "v3")
	e.expect(0, "v3")
	e.expect(time.Minute)
	want := []routing.VersionChange{
		{Service: "s", Version: "v2", Replicas: 2},
		{Service: "s", Version: "v2", Replicas: 2, Known: 2 * time.Second, Basis: routing.EstablishedByMembers},
		{Service: "s", Version: "v3", Replicas: 1},
		{Service: "s", Version: "v3", Replicas: 1, Known: time.Minute, Basis: routing.EstablishedByTime},
	}
	if !slices.Equal(e.changes, want) {
		t.Errorf("changes %+v, want %+v", e.changes, want)
	}
}

// TestVersionThatTurnsOutToBeTheFirst guards against a version that stays new after a peer has told that it was known before
// the other one.
func TestVersionThatTurnsOutToBeTheFirst(t *testing.T) {
	e := newEstablishing(t)
	e.join(revision(5))
	e.now = e.now.Add(time.Minute)
	e.join(revision(6), "v1")
	e.now = e.now.Add(time.Second)
	e.join(revision(7), "v2")
	e.expect(0, "v2")
	e.Merge(&routing.VersionReport{Versions: []routing.UsedVersion{{Service: "s", Version: versionKey("s", "v2"), KnownFor: 2 * time.Second}}}, e.now)
	e.expect(0, "v1")
	want := []routing.VersionChange{
		{Service: "s", Version: "v2", Replicas: 1},
		{Service: "s", Version: "v1", Replicas: 1, Known: time.Second},
		{Service: "s", Version: "v2", Replicas: 1, Known: 2 * time.Second, Basis: routing.EstablishedAsFirst},
	}
	if !slices.Equal(e.changes, want) {
		t.Errorf("changes %+v, want %+v", e.changes, want)
	}
}

// TestEstablishment compares arbitrary histories with the rule: a version is new if it came later than another one that
// its service has or had, less than 3.6 s ago, and not all daemons have held its documents since, while it had replicas.
func TestEstablishment(t *testing.T) {
	versions := []routing.SoftwareVersion{"v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		h, now, at, held := routing.NewVersionHistory(), epoch, revision(1), feed.Position{}
		h.Learn(at, now)
		count, known, by, acked, left := map[routing.SoftwareVersion]int{}, map[routing.SoftwareVersion]time.Time{}, map[routing.SoftwareVersion]feed.Position{}, map[routing.SoftwareVersion]bool{}, map[routing.SoftwareVersion]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, time.Minute}).Draw(t, "after"))
			before := count
			count = map[routing.SoftwareVersion]int{}
			at.Revision++
			for _, v := range versions {
				count[v] = before[v]
				switch rapid.SampledFrom([]string{"", "", "join", "leave"}).Draw(t, string(v)) {
				case "join":
					h.Add(versionReplica("s", v))
					count[v]++
				case "leave":
					if count[v] > 0 {
						h.Remove(versionReplica("s", v), now)
						count[v]--
						left[v] = now
					}
				}
				if before[v] == 0 && count[v] > 0 {
					known[v], by[v], acked[v] = now, at, false
				}
			}
			h.Learn(at, now)
			if rapid.Bool().Draw(t, "told") {
				held = at
			}
			h.Establish(now, at, func(p feed.Position) bool { return !held.Before(p) })
			h.Only(now)
			var want []routing.VersionKey
			for _, v := range versions {
				acked[v] = acked[v] || count[v] > 0 && !held.Before(by[v])
				for _, other := range versions {
					isThere := !known[other].IsZero() && (count[other] > 0 || now.Sub(left[other]) <= 2*time.Minute)
					if !known[v].IsZero() && other != v && isThere && !known[v].Before(known[other]) && now.Sub(known[v]) < 3600*time.Millisecond && !acked[v] {
						want = append(want, versionKey("s", v))
						break
					}
				}
			}
			got := h.New()["s"]
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Fatalf("new versions %v, want %v", got, want)
			}
		}
	})
}

// BenchmarkVersionHistoryMemory builds the history of 500 services with two versions each, the second of which is new.
func BenchmarkVersionHistoryMemory(b *testing.B) {
	const services = 500
	b.ReportAllocs()
	for b.Loop() {
		h := routing.NewVersionHistory()
		for _, v := range []routing.SoftwareVersion{"v1", "v2"} {
			for i := range services {
				h.Add(versionReplica(routing.ServiceName(fmt.Sprint("s", i)), v))
			}
			h.Learn(revision(1), epoch)
		}
		h.Establish(epoch, revision(1), func(feed.Position) bool { return false })
	}
}

// BenchmarkEstablish determines which of 20 versions that have just joined, each at another service, are new.
func BenchmarkEstablish(b *testing.B) {
	h := routing.NewVersionHistory()
	for _, v := range []routing.SoftwareVersion{"v1", "v2"} {
		for i := range 20 {
			h.Add(versionReplica(routing.ServiceName(fmt.Sprint("s", i)), v))
		}
		h.Learn(revision(1), epoch)
	}
	for b.Loop() {
		h.Establish(epoch, revision(1), func(feed.Position) bool { return false })
	}
}
