package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// promptOf returns a request with the given parts and a last one of its own.
func promptOf(n int, parts ...string) *routing.Request {
	q := &routing.Request{ID: routing.RequestID(fmt.Sprint("q", n)), Content: routing.ContentKey(n + 1)}
	for _, p := range parts {
		q.Prompt = append(q.Prompt, routing.PromptPart{ID: p, Tokens: 100})
	}
	q.Prompt = append(q.Prompt, routing.PromptPart{ID: fmt.Sprint("own", n), Tokens: 10})
	return q
}

// noProbe is the answer of daemons that are not the one to probe a part.
func noProbe(routing.ContentKey) bool { return false }

// TestPartsAreQuarantined guards against parts that crash replicas and are not held back, and against parts
// that are held back although nothing shows that replicas crash on them.
func TestPartsAreQuarantined(t *testing.T) {
	const none time.Duration = -1
	type step struct {
		crash      int // replica that crashes; -1: the request is responded to
		request    int
		parts      []string
		responding time.Duration
	}
	crashes := func(n int, parts ...string) (out []step) {
		for i := range n {
			out = append(out, step{i, i, parts, none})
		}
		return out
	}
	for _, c := range []struct {
		name  string
		steps []step
		held  []string // of the parts a, b and own0
	}{
		{"five crashes", crashes(5, "a"), []string{"a"}},
		{"four", crashes(4, "a"), nil},
		{"five of one replica", []step{{0, 0, []string{"a"}, none}, {0, 1, []string{"a"}, none}, {0, 2, []string{"a"}, none}, {0, 3, []string{"a"}, none}, {0, 4, []string{"a"}, none}}, nil},
		{"five of two requests that were sent again", []step{{0, 0, []string{"a"}, none}, {1, 0, []string{"a"}, none}, {2, 0, []string{"a"}, none}, {3, 1, []string{"a"}, none}, {4, 1, []string{"a"}, none}}, nil},
		{"behind other parts", []step{{0, 0, []string{"a", "b"}, none}, {1, 1, []string{"c", "a"}, none}, {2, 2, []string{"a"}, none}, {3, 3, []string{"d", "a"}, none}, {4, 4, []string{"a", "e"}, none}}, []string{"a"}},
		{"beside one that is sound", append(append(crashes(4, "a", "b"), step{-1, 9, []string{"b"}, 0}), step{4, 4, []string{"a", "b"}, none}), []string{"a"}},
		{"sound after four", append(append(crashes(4, "a"), step{-1, 9, []string{"a"}, 0}), step{4, 4, []string{"a"}, none}), nil},
		{"each had been responded to for long", []step{{0, 0, []string{"a"}, time.Second}, {1, 1, []string{"a"}, time.Second}, {2, 2, []string{"a"}, time.Second}, {3, 3, []string{"a"}, time.Second}, {4, 4, []string{"a"}, time.Second}}, nil},
		{"each had just begun to be responded to", []step{{0, 0, []string{"a"}, 50 * time.Millisecond}, {1, 1, []string{"a"}, 0}, {2, 2, []string{"a"}, 0}, {3, 3, []string{"a"}, 0}, {4, 4, []string{"a"}, 0}}, []string{"a"}},
		{"the last part never", []step{{0, 0, nil, none}, {1, 0, nil, none}, {2, 0, nil, none}, {3, 0, nil, none}, {4, 0, nil, none}}, nil},
	} {
		parts := routing.NewPartCrashes()
		for i, s := range c.steps {
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			if s.crash < 0 {
				parts.RecordSound(promptOf(s.request, s.parts...), now)
				continue
			}
			parts.ReportPartCrashes(promptOf(s.request, s.parts...), "w", numberedReplica(s.crash), s.responding, now)
		}
		parts.QuarantineParts(epoch.Add(10*time.Second), noProbe)
		var held []string
		for _, p := range []string{"a", "b", "own0"} {
			if _, ok := parts.QuarantinedPart(promptOf(99, p), epoch.Add(time.Hour)); ok {
				held = append(held, p)
			}
		}
		if !slices.Equal(held, c.held) {
			t.Errorf("%s: held %v, want %v", c.name, held, c.held)
		}
	}
}

// TestQuarantinesOfPartsEnd guards against a quarantine that a sound request can't end, and against one that
// something older ends.
func TestQuarantinesOfPartsEnd(t *testing.T) {
	quarantined := func() *routing.Crashes {
		parts := routing.NewPartCrashes()
		for i := range 5 {
			parts.ReportPartCrashes(promptOf(i, "a"), "w", numberedReplica(i), -1, epoch)
		}
		parts.QuarantineParts(epoch.Add(900*time.Millisecond), noProbe)
		return parts
	}
	held := func(parts *routing.Crashes) bool {
		_, ok := parts.QuarantinedPart(promptOf(99, "a"), epoch.Add(time.Minute))
		return ok
	}
	key := routing.NewPartKey("a")
	for _, c := range []struct {
		name string
		end  func(parts *routing.Crashes)
		held bool
	}{
		{"nothing happens", func(parts *routing.Crashes) { parts.Forget(epoch.Add(time.Hour)) }, true},
		{"a request that was on its way is responded to", func(parts *routing.Crashes) { parts.RecordSound(promptOf(7, "a"), epoch.Add(time.Second)) }, false},
		{"an operator releases it", func(parts *routing.Crashes) { parts.Clear(key, epoch.Add(time.Second)) }, false},
		{"another daemon reports that it was sound before", func(parts *routing.Crashes) {
			parts.Observe([]routing.CrashReport{{Content: key, Clears: true, Age: 2 * time.Second}}, epoch.Add(time.Second))
		}, true},
		{"another daemon reports that it was sound after", func(parts *routing.Crashes) {
			parts.Observe([]routing.CrashReport{{Content: key, Clears: true, Age: time.Second}}, epoch.Add(2*time.Second))
		}, false},
		{"all but one crash are disproved", func(parts *routing.Crashes) {
			first := numberedReplica(0).LoadKey()
			parts.Disprove(func(r routing.LoadKey, _ time.Time) bool { return r != first })
		}, false},
	} {
		parts := quarantined()
		if !held(parts) {
			t.Fatalf("%s: not held before", c.name)
		}
		c.end(parts)
		if got := held(parts); got != c.held {
			t.Errorf("%s: held %t, want %t", c.name, got, c.held)
		}
	}
}

// TestDaemonsShareWhatTheyKnowOfParts guards against a daemon that sends requests with a part on which others
// saw replicas crash, or holds back a part that others saw to be sound.
func TestDaemonsShareWhatTheyKnowOfParts(t *testing.T) {
	a, b, late := routing.NewPartCrashes(), routing.NewPartCrashes(), routing.NewPartCrashes()
	exchange := func(now time.Time) {
		b.Observe(a.TakeReports(100, now), now)
		a.Observe(b.TakeReports(100, now), now)
	}
	for i := range 5 {
		[]*routing.Crashes{a, b}[i%2].ReportPartCrashes(promptOf(i, "bad", "common"), "w", numberedReplica(i), -1, epoch)
	}
	b.RecordSound(promptOf(50, "common"), epoch.Add(100*time.Millisecond))
	if early := a.TakeReports(100, epoch.Add(100*time.Millisecond)); len(early) > 0 {
		t.Errorf("%d reports at once, want none before common parts can be shown to be sound", len(early))
	}
	for i := range 3 {
		now := epoch.Add(time.Duration(i+1) * 600 * time.Millisecond)
		exchange(now)
		a.QuarantineParts(now, noProbe)
		b.QuarantineParts(now, noProbe)
	}
	now := epoch.Add(3 * time.Second)
	reports, _ := a.All(0, 100, now)
	late.Observe(reports, now)
	for name, d := range map[string]*routing.Crashes{"a": a, "b": b, "one that starts later": late} {
		if _, ok := d.QuarantinedPart(promptOf(99, "bad"), now); !ok {
			t.Errorf("daemon %s sends requests with the part that crashes replicas", name)
		}
		if _, ok := d.QuarantinedPart(promptOf(99, "common"), now); ok {
			t.Errorf("daemon %s holds back a part that is sound", name)
		}
	}
}

// partSim is a fleet in virtual time to which requests with one bad part are sent beside sound ones.
type partSim struct {
	rng      *rand.Rand
	daemons  []*routing.Crashes
	replicas []simReplica
	inFlight []*simRequest
	now      time.Time
	started  int
	bad      time.Duration // between two bad requests
	every    time.Duration // between two sound ones
	downFor  time.Duration // how long a replica that crashed is down
	// wave is the number of bad requests that come at once, with shared parts that sound ones have too. If it is 0,
	// parts differ in how often they come, and replicas crash for other reasons too.
	wave   int
	shared []string

	crashes []time.Time // caused by the bad part
	late    int         // bad requests sent later than 3 s after the fifth crash
	refused int         // sound requests that were refused
	sound   int
	// soundLater and refusedLater are those that come later than 6 s after the fifth crash while replicas are up.
	soundLater, refusedLater int
}

type simReplica struct {
	incarnation routing.Replica
	downUntil   time.Time
}

type simRequest struct {
	q               *routing.Request
	daemon, replica int
	isBad           bool
	beginsAt        time.Time // first event
	endsAt          time.Time
	isSound         bool
	isProbe         bool
	attempts        int
}

func newPartSim(daemons, replicas int, bad time.Duration, perSecond float64, seed uint64) *partSim {
	w := &partSim{rng: rand.New(rand.NewPCG(seed, 1)), replicas: make([]simReplica, replicas), now: epoch, bad: bad, every: time.Duration(float64(time.Second) / perSecond), downFor: 2 * time.Second}
	for range daemons {
		w.daemons = append(w.daemons, routing.NewPartCrashes())
	}
	for i := range w.replicas {
		w.start(i)
	}
	return w
}

func (w *partSim) start(i int) {
	w.started++
	w.replicas[i].incarnation = routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", w.started))})
}

const partStep = 10 * time.Millisecond

// run plays a time: sound requests of two first parts, many middle parts of very different frequency, and
// bad ones beside the same parts. Crashes reach all daemons by their reports, one in ten of which is lost.
func (w *partSim) run(lasts time.Duration) {
	const firstBad = 3 * time.Second
	nextBad, nextSound, n := firstBad, time.Duration(0), 0
	for at := time.Duration(0); at < lasts; at += partStep {
		w.now = epoch.Add(at)
		for ; nextSound <= at; nextSound += w.every {
			n++
			w.send(&simRequest{q: promptOf(n, w.parts(n, false)...)})
		}
		for ; nextBad <= at; nextBad += w.bad {
			atOnce := 1
			if nextBad == firstBad {
				atOnce += w.wave
			}
			for range atOnce {
				n++
				w.send(&simRequest{q: promptOf(n, w.parts(n, true)...), isBad: true})
			}
		}
		if at%time.Second == 0 && at > 0 && w.wave == 0 {
			w.crash(w.rng.IntN(len(w.replicas))) // for another reason
		}
		w.step()
		if at%(50*time.Millisecond) == 0 {
			w.exchange()
		}
	}
}

// parts returns the parts of the prompt of request n but the last one.
func (w *partSim) parts(n int, isBad bool) []string {
	first := fmt.Sprint("first", n%2)
	switch {
	case w.wave > 0 && isBad:
		return append(slices.Clone(w.shared), "bad")
	case w.wave > 0:
		return append(slices.Clone(w.shared), fmt.Sprint("m", w.rng.IntN(8)))
	case isBad && n%3 == 0:
		return []string{first, fmt.Sprint("m", w.rng.IntN(20)), "bad"}
	case isBad:
		return []string{first, "bad"}
	}
	return []string{first, fmt.Sprint("m", int(float64(200)*w.rng.Float64()*w.rng.Float64()*w.rng.Float64()))}
}

// send sends a request to a replica that is up, unless its daemon holds it back.
func (w *partSim) send(r *simRequest) {
	if r.attempts == 0 {
		r.daemon = w.rng.IntN(len(w.daemons))
		w.sound += map[bool]int{false: 1}[r.isBad]
		w.soundLater += map[bool]int{true: 1}[!r.isBad && w.isLater(6*time.Second) && w.isAnyUp()]
	}
	r.attempts++
	d := w.daemons[r.daemon]
	if r.attempts == 1 {
		r.isProbe = d.BeginProbe(r.q, w.now)
	}
	if !r.isProbe || r.attempts > 1 {
		if _, held := d.QuarantinedPart(r.q, w.now); held {
			w.refused += map[bool]int{false: 1}[r.isBad]
			w.refusedLater += map[bool]int{true: 1}[!r.isBad && w.isLater(6*time.Second) && w.isAnyUp()]
			return
		}
	}
	for range 20 {
		r.replica = w.rng.IntN(len(w.replicas))
		if w.now.Before(w.replicas[r.replica].downUntil) {
			continue
		}
		if w.isLater(3*time.Second) && r.isBad {
			w.late++
		}
		r.beginsAt = w.now.Add(50*time.Millisecond + time.Duration(w.rng.Int64N(int64(250*time.Millisecond))))
		r.endsAt = r.beginsAt.Add(100*time.Millisecond + time.Duration(w.rng.Int64N(int64(1500*time.Millisecond))))
		w.inFlight = append(w.inFlight, r)
		return
	}
	w.endProbe(r, false)
}

// endProbe ends the probe that a request is, if it is one.
func (w *partSim) endProbe(r *simRequest, sent bool) {
	if r.isProbe {
		r.isProbe = false
		w.daemons[r.daemon].EndProbe(r.q, sent)
	}
}

func (w *partSim) isAnyUp() bool {
	return slices.ContainsFunc(w.replicas, func(r simReplica) bool { return !w.now.Before(r.downUntil) })
}

// isLater reports whether the fifth crash was longer ago.
func (w *partSim) isLater(than time.Duration) bool {
	return len(w.crashes) >= 5 && w.now.Sub(w.crashes[4]) > than
}

// step lets requests go on: bad ones crash their replicas, with all that is in flight there.
func (w *partSim) step() {
	for _, r := range slices.Clone(w.inFlight) {
		if r.isBad && !w.now.Before(r.beginsAt.Add(40*time.Millisecond)) && !w.now.Before(w.replicas[r.replica].downUntil) {
			w.crashes = append(w.crashes, w.now)
			w.crash(r.replica)
		}
	}
	w.inFlight = slices.DeleteFunc(w.inFlight, func(r *simRequest) bool {
		isLong := w.now.Sub(r.beginsAt) >= routing.PartSoundAfter
		if !r.isSound && (isLong || !w.now.Before(r.endsAt)) {
			r.isSound = true
			w.daemons[r.daemon].RecordSound(r.q, w.now)
		}
		if !w.now.Before(r.endsAt) {
			w.endProbe(r, true)
		}
		return !w.now.Before(r.endsAt)
	})
}

// crash crashes a replica, which is down for a while. Requests are sent once more.
func (w *partSim) crash(replica int) {
	var again []*simRequest
	gone := w.replicas[replica].incarnation
	w.replicas[replica].downUntil = w.now.Add(w.downFor)
	w.start(replica)
	w.inFlight = slices.DeleteFunc(w.inFlight, func(r *simRequest) bool {
		if r.replica != replica {
			return false
		}
		responding := time.Duration(-1)
		if !w.now.Before(r.beginsAt) {
			responding = w.now.Sub(r.beginsAt)
		}
		w.daemons[r.daemon].ReportPartCrashes(r.q, "w", &gone, responding, w.now)
		w.endProbe(r, true)
		if r.attempts < 2 {
			again = append(again, r)
		}
		return true
	})
	for _, r := range again {
		w.send(r)
	}
}

// exchange has each daemon send its reports to all others, and learn how often replicas crash.
func (w *partSim) exchange() {
	recent := 0
	for _, at := range w.crashes {
		if w.now.Sub(at) < time.Second {
			recent++
		}
	}
	for i, d := range w.daemons {
		up := 0
		for k := range w.replicas {
			up += map[bool]int{true: 1}[!w.now.Before(w.replicas[k].downUntil)]
		}
		d.SetCrashRate(max(float64(recent), d.Rate(w.now)), up)
		d.QuarantineParts(w.now, func(routing.ContentKey) bool { return i == 0 })
		if recent > 0 {
			d.Watch(w.now)
		}
		reports := d.TakeReports(35, w.now)
		if len(reports) == 0 {
			continue
		}
		for k, other := range w.daemons {
			if k != i && w.rng.Float64() >= .1 {
				other.Observe(reports, w.now)
			}
		}
	}
}

// TestBadPartsAreFoundAndSoundOnesAreNot guards against too many crashes, and against sound requests that are
// held back, at different sizes, loads and rates of bad requests.
func TestBadPartsAreFoundAndSoundOnesAreNot(t *testing.T) {
	for _, c := range []struct {
		daemons, replicas int
		perSecond         float64
	}{{8, 18, 60}, {8, 18, 200}, {34, 60, 300}, {120, 550, 500}} {
		for _, bad := range []time.Duration{150 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d daemons, %.0f requests a second, a bad one each %v", c.daemons, c.perSecond, bad), func(t *testing.T) {
				t.Parallel()
				crashes, late, refused, sound := 0, 0, 0, 0
				for seed := range uint64(map[bool]int{true: 1, false: 3}[c.daemons > 34]) {
					w := newPartSim(c.daemons, c.replicas, bad, c.perSecond, seed)
					w.run(12*time.Second + 8*bad)
					crashes, late = max(crashes, len(w.crashes)), max(late, w.late)
					refused, sound = refused+w.refused, sound+w.sound
				}
				t.Logf("at most %d crashes, %d bad requests sent too late; %d of %d sound ones refused", crashes, late, refused, sound)
				if late > 3 {
					t.Errorf("%d bad requests were sent later than 3 s after the fifth crash, want at most 3", late)
				}
				if float64(refused) > .01*float64(sound) {
					t.Errorf("%d of %d sound requests were refused", refused, sound)
				}
			})
		}
	}
}
