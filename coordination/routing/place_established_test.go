package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// releasing is a service s during a release: v2 is new.
type releasing struct {
	*routing.Placer
	view    *routing.View
	pool    *routing.Pool
	service routing.Service
	now     time.Time
}

// newReleasing returns a service with one replica for each version, in three failure domains.
func newReleasing(versions ...routing.SoftwareVersion) *releasing {
	r := &releasing{now: epoch.Add(10 * time.Second), service: routing.Service{Name: "s"}, pool: versionedPool("s", versions...)}
	r.Placer = &routing.Placer{
		Loads: routing.NewLoads(), Health: routing.NewHealth(), Cold: routing.NewColdLimiter("a:1"), Overloads: routing.NewOverloads(),
		Cache: routing.NewCacheTable(), Backoffs: routing.NewBackoffs(), Departures: routing.NewDepartures(),
	}
	r.view = &routing.View{
		Domain: "z0", Daemons: 1, Pools: map[routing.ServiceName]*routing.Pool{"s": r.pool},
		NewVersions: routing.NewVersions{"s": {versionKey("s", "v2")}},
	}
	return r
}

// of returns the ready replicas of a version.
func (r *releasing) of(v routing.SoftwareVersion) []*routing.Replica {
	var out []*routing.Replica
	for i := range r.pool.Ready {
		if r.pool.Ready[i].Version == v {
			out = append(out, &r.pool.Ready[i])
		}
	}
	return out
}

// prepare sorts the pool and builds the configuration after changes.
func (r *releasing) prepare() {
	r.pool.Sort()
	config, err := routing.NewTable(&routing.Config{Services: []routing.Service{r.service}})
	if err != nil {
		panic(err)
	}
	r.view.Table = config
}

// loadAll begins requests at each replica.
func (r *releasing) loadAll(requests int) {
	for i := range r.pool.Ready {
		for range requests {
			r.Loads.Begin(r.pool.Ready[i].LoadKey())
		}
	}
}

func streamRequest(id routing.RequestID) *routing.Request {
	return &routing.Request{ID: id, Service: "s", Route: &routing.Route{Name: "r", Kind: routing.Stream}}
}

// at returns how many of 100 requests that are in flight for no time go to a version, and how many are refused.
func (r *releasing) at(v routing.SoftwareVersion, q routing.Request, tried routing.Tried) (at, refused int) {
	for i := range 100 {
		q.ID = routing.RequestID(fmt.Sprint(i))
		t, ok := r.Choose(r.view, &q, tried, r.now)
		switch {
		case !ok:
			refused++
		case t.Replica.Version == v:
			at++
		}
	}
	return at, refused
}

// TestStreamsBeginAtEstablishedVersions guards against a stream that begins at a version that some daemon may not know, and
// against any effect on other requests.
func TestStreamsBeginAtEstablishedVersions(t *testing.T) {
	prompt := []routing.PromptPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 5}}
	other := &routing.Route{Name: "r", Kind: routing.Idempotent}
	v1, v2 := versionKey("s", "v1"), versionKey("s", "v2")
	for _, c := range []struct {
		name    string
		request routing.Request
		tried   routing.Tried
		none    bool // no version is new
		least   int  // of 100 requests that go to v2
		most    int
	}{
		{"a stream", *streamRequest("a"), routing.Tried{}, false, 0, 0},
		{"a stream whose first attempt failed", *streamRequest("a"), routing.Tried{Replicas: []routing.ReplicaID{"r0"}}, false, 0, 0},
		{"a stream, once the version is established", *streamRequest("a"), routing.Tried{}, true, 30, 70},
		{"a stream that began at the new version", *streamRequest("a"), routing.Tried{Version: v2}, false, 100, 100},
		{"a stream that began at the established version", *streamRequest("a"), routing.Tried{Version: v1}, false, 0, 0},
		{"a request of another kind", routing.Request{Service: "s", Route: other}, routing.Tried{}, false, 30, 70},
	} {
		for _, generates := range []bool{false, true} {
			r := newReleasing("v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2")
			for i := range r.pool.Ready {
				r.pool.Ready[i].Domain = "z0"
			}
			r.service.Generates = generates
			r.prepare()
			if c.none {
				r.view.NewVersions = nil
			}
			if generates {
				c.request.Prompt = prompt
				c.least, c.most = min(c.least, 100*(c.least/100)), max(c.most, 100*min(1, c.most)) // one home
			}
			if at, refused := r.at("v2", c.request, c.tried); at < c.least || at > c.most || refused > 0 {
				t.Errorf("%s, generates %t: %d of 100 at the new version, want %d to %d; %d refused", c.name, generates, at, c.least, c.most, refused)
			}
		}
	}
}

// TestStreamsAreServedWithoutEstablishedReplicas guards against streams that are refused, or sent where they fail, although
// replicas of a new version would serve them.
func TestStreamsAreServedWithoutEstablishedReplicas(t *testing.T) {
	for _, c := range []struct {
		name   string
		meddle func(r *releasing, established *routing.Replica)
		isNew  bool // streams go to the new version
	}{
		{"well", func(*releasing, *routing.Replica) {}, false},
		{"full", func(r *releasing, old *routing.Replica) {
			for range old.Slots {
				r.Loads.Begin(old.LoadKey())
			}
		}, true},
		{"nearly full", func(r *releasing, old *routing.Replica) {
			r.loadAll(old.Slots - 1)
		}, false},
		{"busy, with slots that are not stated", func(r *releasing, old *routing.Replica) {
			old.Slots = 0
			r.loadAll(50)
		}, false},
		{"above the load bound of the service", func(r *releasing, old *routing.Replica) {
			old.Slots = 0
			for range 50 {
				r.Loads.Begin(old.LoadKey())
			}
		}, true},
		{"cold and at their limit", func(r *releasing, old *routing.Replica) {
			r.service.ColdPerSecond, old.ColdUntil = 1, r.now.Add(time.Second)
		}, true},
		{"cold without a limit", func(r *releasing, old *routing.Replica) { old.ColdUntil = r.now.Add(time.Second) }, false},
		{"at rest", func(r *releasing, old *routing.Replica) { r.Backoffs.Record(old, time.Second, "b", r.now) }, true},
		{"leaving", func(r *releasing, old *routing.Replica) { r.Departures.RecordAnnounced(old, r.now) }, true},
		{"evacuated", func(r *releasing, old *routing.Replica) {
			r.pool.Evacuated = append(r.pool.Evacuated, *old)
			r.pool.Ready = slices.DeleteFunc(r.pool.Ready, func(r routing.Replica) bool { return r.Version == "v1" })
		}, true},
		{"ejected", func(r *releasing, old *routing.Replica) { r.Health.Report(old, routing.ResultUnreachable, r.now) }, true},
		{"terminated", func(r *releasing, old *routing.Replica) { r.Health.ReportTermination(old, r.now) }, true},
		{"cut off", func(r *releasing, old *routing.Replica) {
			r.Health.ObserveDomains(map[state.FailureDomain]time.Time{old.Domain: epoch}, routing.DomainTimeout)
		}, true},
	} {
		r := newReleasing("v2", "v1", "v2", "v2")
		c.meddle(r, r.of("v1")[0])
		r.prepare()
		at, refused := r.at("v2", *streamRequest("a"), routing.Tried{})
		if want := map[bool]int{true: 100}[c.isNew]; at != want || refused > 0 {
			t.Errorf("%s: %d of 100 streams at the new version, want %d; %d refused", c.name, at, want, refused)
		}
		granted := 0
		for _, n := range r.of("v2") {
			if _, ok := r.ChooseGranted(r.view, streamRequest("a"), n.LoadKey(), routing.Tried{}, r.now); ok {
				granted++
			}
		}
		if want := map[bool]int{true: 3}[c.isNew]; granted != want {
			t.Errorf("%s: permits for %d of 3 replicas of the new version may be used, want %d", c.name, granted, want)
		}
		if avoided := r.NewReplicas(r.view, streamRequest("a"), routing.Tried{}, r.now); (len(avoided) == 0) != c.isNew {
			t.Errorf("%s: avoids %v", c.name, avoided)
		}
	}
}

// TestMostEstablishedReplicasFail guards against streams that are sent to failing replicas, since ejections are ignored once
// most replicas of a service fail.
func TestMostEstablishedReplicasFail(t *testing.T) {
	for _, c := range []struct {
		well int // established replicas that don't fail, of four
		want routing.SoftwareVersion
	}{{0, "v2"}, {1, "v1"}} {
		r := newReleasing("v1", "v1", "v1", "v1", "v2")
		for i := range r.pool.Ready {
			r.pool.Ready[i].Domain = "z0"
		}
		for _, old := range r.of("v1")[c.well:] {
			r.Health.Report(old, routing.ResultUnreachable, r.now)
		}
		r.prepare()
		tgt, ok := r.Choose(r.view, streamRequest("a"), routing.Tried{}, r.now)
		isFailing := !r.Health.Reachable(&tgt.Replica, r.now)
		if c.well > 0 && (!ok || tgt.Replica.Version != c.want || isFailing) {
			t.Errorf("%d established replicas are well: chose %s, %t", c.well, tgt.Replica.ID, ok)
		}
		if at, refused := r.at("v2", *streamRequest("a"), routing.Tried{}); c.well == 0 && (at == 0 || refused > 0) {
			t.Errorf("all established replicas fail: %d of 100 at the one that does not, %d refused", at, refused)
		}
	}
}

// TestTargetTellsNewVersion guards against streams that begin at a new version and are not counted.
func TestTargetTellsNewVersion(t *testing.T) {
	r := newReleasing("v2", "v2")
	r.prepare()
	if tgt, ok := r.Choose(r.view, streamRequest("a"), routing.Tried{}, r.now); !ok || !tgt.NewVersion {
		t.Errorf("%+v, %t", tgt, ok)
	}
	if tgt, ok := r.ChooseGranted(r.view, streamRequest("a"), r.pool.Ready[0].LoadKey(), routing.Tried{}, r.now); !ok || !tgt.NewVersion {
		t.Errorf("with a permit: %+v, %t", tgt, ok)
	}
	if tgt, _ := r.Choose(r.view, streamRequest("a"), routing.Tried{Version: versionKey("s", "v2")}, r.now); tgt.NewVersion {
		t.Error("counts a stream that is bound")
	}
}

// TestStreamsDoNotReturnToNewVersions guards against a stream that begins at a new version since its call returns to a replica
// that it was sent to when no other one was usable.
func TestStreamsDoNotReturnToNewVersions(t *testing.T) {
	r := newReleasing("v2", "v1", "v1")
	r.prepare()
	v1, v2, q := r.of("v1")[0], r.of("v2")[0], streamRequest("a")
	for _, c := range []struct {
		name  string
		to    *routing.Replica
		tried routing.Tried
		want  bool
	}{
		{"a replica of a new version", v2, routing.Tried{Replicas: []routing.ReplicaID{"r0", "r1"}}, true},
		{"the same, and all others were tried", v2, routing.Tried{Replicas: []routing.ReplicaID{"r0", "r1", "r2"}}, false},
		{"the same with a stream that began there", v2, routing.Tried{Version: v2.VersionKey()}, false},
		{"a replica of an established version", v1, routing.Tried{Replicas: []routing.ReplicaID{"r0", "r1"}}, false},
	} {
		if got := r.AvoidsNew(r.view, q, c.to, c.tried, r.now); got != c.want {
			t.Errorf("%s: avoided: %t, want %t", c.name, got, c.want)
		}
	}
}

// BenchmarkChooseDuringRelease chooses a replica for a stream among 18, with no new version and with one that six of them have.
func BenchmarkChooseDuringRelease(b *testing.B) {
	for _, isNew := range []bool{false, true} {
		b.Run(fmt.Sprintf("new=%t", isNew), func(b *testing.B) {
			var versions []routing.SoftwareVersion
			for i := range 18 {
				versions = append(versions, map[bool]routing.SoftwareVersion{true: "v2", false: "v1"}[i%3 == 0])
			}
			r := newReleasing(versions...)
			r.prepare()
			if !isNew {
				r.view.NewVersions = nil
			}
			q := streamRequest("a")
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Choose(r.view, q, routing.Tried{}, r.now); !ok {
					b.Fatal("refused")
				}
			}
		})
	}
}

// TestEstablishedReplicasTakeStreamsWithinTheLoadBound guards against replicas that get far more requests than the mean of their
// service, since streams avoid the others while a version is new.
func TestEstablishedReplicasTakeStreamsWithinTheLoadBound(t *testing.T) {
	const replicas = 18
	for _, c := range []struct {
		established int
		load        int // of each of them; the others have none
		isNew       bool
	}{
		{10, 2, false},
		{10, 10, false}, // the mean is 5.6, the bound 10.9
		{10, 20, true},  // the mean is 11.1, the bound 19.8
		{3, 2, false},
		{3, 10, true}, // the mean is 1.7, the bound 4.7
	} {
		for _, generates := range []bool{false, true} {
			var versions []routing.SoftwareVersion
			for i := range replicas {
				versions = append(versions, map[bool]routing.SoftwareVersion{true: "v1", false: "v2"}[i < c.established])
			}
			r := newReleasing(versions...)
			r.service.Generates = generates
			for i := range r.pool.Ready {
				r.pool.Ready[i].Slots, r.pool.Ready[i].Domain = 60, "z0"
			}
			r.prepare()
			for _, old := range r.of("v1") {
				for range c.load {
					r.Loads.Begin(old.LoadKey())
				}
			}
			q := streamRequest("a")
			if generates {
				q.Prompt = []routing.PromptPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 5}}
			}
			tgt, ok := r.Choose(r.view, q, routing.Tried{}, r.now)
			if isNew := tgt.Replica.Version == "v2"; !ok || !generates && isNew != c.isNew || generates && isNew && !c.isNew {
				t.Errorf("%d established of %d, load %d, generates %t: chose %s", c.established, replicas, c.load, generates, tgt.Replica.Version)
			}
		}
	}
}

// TestStreamsAreNeverRefusedForNewVersions compares a service during a release with the same one without any new version:
// what would have been served is served, and at an established version if one of its replicas is well.
func TestStreamsAreNeverRefusedForNewVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.SampledFrom([]routing.SoftwareVersion{"v1", "v2"}), 1, 9).Draw(t, "versions")
		build := func() *releasing { return newReleasing(versions...) }
		with, without := build(), build()
		without.view.NewVersions = nil
		states := rapid.SliceOfN(rapid.SampledFrom([]string{"well", "well", "ejected", "terminated", "cold", "backing off", "leaving", "full"}), len(versions), len(versions)).Draw(t, "states")
		cutOff, generates := rapid.Bool().Draw(t, "cut off"), rapid.Bool().Draw(t, "generates")
		tried := routing.Tried{RemoteUnreachable: rapid.Bool().Draw(t, "remote unreachable")}
		wellOfV1 := 0
		for _, r := range []*releasing{with, without} {
			r.service.ColdPerSecond, r.service.Generates = 4, generates
			for i := range r.pool.Ready {
				replica := &r.pool.Ready[i]
				switch states[i] {
				case "ejected":
					r.Health.Report(replica, routing.ResultUnreachable, r.now)
				case "terminated":
					r.Health.ReportTermination(replica, r.now)
				case "cold":
					replica.ColdUntil = r.now.Add(time.Second)
				case "backing off":
					r.Backoffs.Record(replica, time.Second, "b", r.now)
				case "leaving":
					r.Departures.RecordAnnounced(replica, r.now)
				case "full":
					for range replica.Slots {
						r.Loads.Begin(replica.LoadKey())
					}
				}
			}
			r.prepare()
			if cutOff {
				r.Health.ObserveDomains(map[state.FailureDomain]time.Time{"z1": epoch}, routing.DomainTimeout)
			}
		}
		for i := range with.pool.Ready {
			r := &with.pool.Ready[i]
			isHeld := tried.RemoteUnreachable && r.Domain != "z0"
			if states[i] == "well" && r.Version == "v1" && (!cutOff || r.Domain != "z1") && !isHeld {
				wellOfV1++
			}
		}
		q := streamRequest("a")
		if generates && rapid.Bool().Draw(t, "prompt") {
			q.Prompt = []routing.PromptPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 5}}
		}
		target, ok := with.Choose(with.view, q, tried, with.now)
		if _, served := without.Choose(without.view, q, tried, without.now); served && !ok {
			t.Fatal("a stream is refused that would have been served")
		}
		if wellOfV1 > 0 && (!ok || target.Replica.Version != "v1") {
			t.Fatalf("chose %q although %d established replicas are well", target.Replica.ID, wellOfV1)
		}
	})
}
