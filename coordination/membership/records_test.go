package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/state"
)

// rollingFleet is a fleet whose daemons are replaced in turn, and the records that they hold. All messages
// arrive within one step.
type rollingFleet struct {
	now     time.Time
	daemons []*rollingDaemon
	rng     *rand.Rand
	lost    float64 // share of the heartbeats that are lost: rosters differ for a while
	broken  []brokenStream
}

type brokenStream struct {
	key uint64
	at  time.Time
}

type rollingDaemon struct {
	member    Member
	roster    *Roster
	records   Records[uint64] // its own
	held      map[uint64]bool // what it can answer
	startedAt time.Time
	leavingAt time.Time // zero: it is not shutting down
	running   bool
	open      []uint64 // keys of its open streams
}

const (
	rollingStep = 100 * time.Millisecond
	// rollingGrace is the grace period of the daemons. Open streams are broken off at its end.
	rollingGrace = 8 * time.Second
	// rollingContact is how long after its start a daemon is given callers.
	rollingContact = 3 * time.Second
	// rollingNotice is for how long a daemon that shuts down is given callers.
	rollingNotice = 2 * time.Second
)

func newRollingFleet(daemons, domains int, seed uint64) *rollingFleet {
	f := &rollingFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		d := &rollingDaemon{member: Member{Address: Address(fmt.Sprintf("10.%d.%d.1:1", i/200, i%200)), Domain: state.FailureDomain(fmt.Sprint("z", i%domains))}}
		f.daemons = append(f.daemons, d)
		f.start(d)
		d.startedAt = f.now.Add(-time.Minute)
	}
	f.step()
	return f
}

// start starts a daemon, which knows nothing of before.
func (f *rollingFleet) start(d *rollingDaemon) {
	d.member.Incarnation, d.member.Heartbeats, d.member.Leaving = d.member.Incarnation+1, 0, false
	d.roster, d.records, d.held = NewRoster(d.member, nil), Records[uint64]{}, make(map[uint64]bool)
	d.running, d.startedAt, d.leavingAt, d.open = true, f.now, time.Time{}, nil
}

// step has all daemons send a heartbeat, and each keep its records.
func (f *rollingFleet) step() {
	f.now = f.now.Add(rollingStep)
	for _, d := range f.daemons {
		d.member.Heartbeats++
		for _, to := range f.daemons {
			if d.running && to.running && to != d && f.rng.Float64() >= f.lost {
				to.roster.Observe([]Member{d.member}, f.now)
			}
		}
	}
	for _, d := range f.daemons {
		if d.running {
			f.keep(d)
		}
	}
}

func (f *rollingFleet) keep(d *rollingDaemon) {
	for _, u := range d.records.TakeUnsent(d.roster, f.now) {
		f.send([]Address{u.Holder}, u.Records...)
	}
}

// send records keys at daemons.
func (f *rollingFleet) send(to []Address, keys ...uint64) {
	for _, d := range f.daemons {
		if !d.running || !slices.Contains(to, d.member.Address) {
			continue
		}
		for _, key := range keys {
			d.held[key] = true
		}
	}
}

// begin begins a stream at a daemon.
func (f *rollingFleet) begin(d *rollingDaemon) {
	key := f.rng.Uint64()
	d.open, d.held[key] = append(d.open, key), true
	f.send(d.records.Add(key, key, f.now.Add(time.Minute), d.roster, f.now), key)
}

// resume resumes a stream at a daemon that is given callers, and reports whether its record is found; ok is false if there is none.
func (f *rollingFleet) resume(key uint64) (found, ok bool) {
	for _, i := range f.rng.Perm(len(f.daemons)) {
		d := f.daemons[i]
		if !d.running || !d.leavingAt.IsZero() || f.now.Sub(d.startedAt) < rollingContact {
			continue
		}
		asked := append(d.roster.PossibleHolders(key, f.now), d.member.Address)
		return slices.ContainsFunc(f.daemons, func(h *rollingDaemon) bool {
			return h.running && h.held[key] && slices.Contains(asked, h.member.Address)
		}), true
	}
	return false, false
}

// end ends a daemon, and returns the keys of the streams that were open there.
func (f *rollingFleet) end(d *rollingDaemon) []uint64 {
	d.running = false
	return d.open
}

// roll replaces all daemons, some at a time. Streams that are broken off are resumed after a pause. It returns how many were
// resumed, and how many of their records were found.
func (f *rollingFleet) roll(atOnce int, gap, pause time.Duration, killed func(i int) bool) (resumed, found int) {
	begun, last := f.now, f.now
	for i := 0; f.now.Sub(last) < rollingGrace+rollingContact+pause; {
		for i < len(f.daemons) && f.now.Sub(begun) >= time.Duration(i/atOnce)*gap {
			d := f.daemons[i]
			d.leavingAt, d.member.Leaving = f.now, true
			d.roster.SetLeaving()
			last, i = f.now, i+1
		}
		for i, d := range f.daemons {
			switch age := f.now.Sub(d.leavingAt); {
			case !d.running:
				f.start(d)
			case !d.leavingAt.IsZero() && (age >= rollingGrace || killed(i) && age >= rollingGrace/2):
				for _, key := range f.end(d) {
					f.broken = append(f.broken, brokenStream{key, f.now})
				}
			case d.leavingAt.IsZero() && f.now.Sub(d.startedAt) >= rollingContact || !d.leavingAt.IsZero() && age < rollingNotice:
				f.begin(d)
			}
		}
		f.step()
		for len(f.broken) > 0 && f.now.Sub(f.broken[0].at) > pause {
			isFound, ok := f.resume(f.broken[0].key)
			f.broken = f.broken[1:]
			if ok {
				resumed++
			}
			if isFound {
				found++
			}
		}
	}
	return resumed, found
}

// TestRecordsOutliveARollingRestart guards against records that nobody finds while all daemons are stopped and started in turn:
// their holders are chosen among the daemons that are not shutting down, and these are others each time.
func TestRecordsOutliveARollingRestart(t *testing.T) {
	nobody := func(int) bool { return false }
	for _, c := range []struct {
		name             string
		daemons, domains int
		atOnce           int
		gap, pause       time.Duration // pause: of the callers before they resume a stream
		killed           func(int) bool
		lost, want       float64 // want: share of the records that are found
	}{
		{"one a second", 8, 3, 1, time.Second, 0, nobody, 0, 1},
		{"one in half a second", 8, 3, 1, time.Second / 2, 0, nobody, 0, 1},
		{"one in 1.5 s", 8, 3, 1, 3 * time.Second / 2, 0, nobody, 0, 1},
		{"two at a time", 8, 3, 2, time.Second, 0, nobody, 0, 1},
		{"a domain with one daemon", 5, 4, 1, time.Second, 0, nobody, 0, 1},
		{"more domains than holders", 36, 12, 2, time.Second / 2, 0, nobody, 0, 1},
		{"rosters differ", 36, 12, 2, time.Second / 2, 0, nobody, .8, 1},
		{"callers pause", 36, 12, 2, time.Second / 2, 4 * time.Second, nobody, 0, .9}, // all holders of some have ended by then
		{"the last one is killed", 8, 3, 1, time.Second, 0, func(i int) bool { return i == 7 }, 0, 1},
		{"a few are killed", 34, 6, 1, time.Second, 0, func(i int) bool { return i%4 == 3 }, 0, 1},
	} {
		for seed := range uint64(3) {
			f := newRollingFleet(c.daemons, c.domains, seed)
			f.lost = c.lost
			resumed, found := f.roll(c.atOnce, c.gap, c.pause, c.killed)
			if resumed < 12 || float64(found) < c.want*float64(resumed) {
				t.Errorf("%s, seed %d: %d of %d records were found", c.name, seed, found, resumed)
			}
		}
	}
}

// TestRecordsAreSentOnce guards against records that are sent again without need: only holders that started again, or that are new,
// lack them.
func TestRecordsAreSentOnce(t *testing.T) {
	f := newRollingFleet(8, 3, 1)
	d := f.daemons[0]
	count := func() int {
		n := 0
		for _, u := range d.records.TakeUnsent(d.roster, f.now) {
			n += len(u.Records)
		}
		return n
	}
	for range 100 {
		f.begin(d)
	}
	for range 20 {
		f.step()
		if n := count(); n > 0 {
			t.Fatalf("%d records are sent again though nothing has changed", n)
		}
	}
	for _, key := range d.open[:50] {
		d.records.Remove(key)
	}
	lost := f.daemons[4]
	f.end(lost)
	f.start(lost)
	f.now = f.now.Add(rollingStep)
	d.roster.Observe([]Member{lost.member}, f.now)
	if n := count(); n == 0 || n > 50 {
		t.Errorf("%d of 50 records are sent again to a holder that has started again", n)
	}
	f.now = f.now.Add(2 * time.Minute)
	if count(); d.records.Len() != 0 {
		t.Errorf("%d records are kept after their time", d.records.Len())
	}
}

// TestLeaversAreAskedButHoldNothing guards against questions that leave out the daemons that know, and against records at daemons that end.
func TestLeaversAreAskedButHoldNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	members, rosters := holderFleet(300, 6, now)
	r := rosters[0]
	for key := range uint64(100) {
		asked := r.PossibleHolders(key, now)
		for _, holder := range r.Holders(key, now) {
			if !slices.Contains(asked, holder) {
				t.Fatalf("holder %s is not asked", holder)
			}
		}
		if most := askedStaying * (holderDomains + 1); len(asked) > most {
			t.Fatalf("%d daemons are asked while none shuts down, want at most %d", len(asked), most)
		}
	}
	former := r.Holders(7, now)
	for _, m := range members[1:] {
		if slices.Contains(former, m.Address) {
			m.Leaving, m.Heartbeats = true, 2
			r.Observe([]Member{m}, now)
		}
	}
	holders, asked := r.Holders(7, now), r.PossibleHolders(7, now)
	for _, a := range former {
		if a != r.self.Address && (slices.Contains(holders, a) || !slices.Contains(asked, a)) {
			t.Errorf("%s shuts down; it holds records: %t, it is asked: %t", a, slices.Contains(holders, a), slices.Contains(asked, a))
		}
	}
}

func BenchmarkTakeUnsent(b *testing.B) {
	now := time.Unix(1000, 0)
	members, rosters := holderFleet(986, 12, now)
	r := rosters[0]
	var records Records[uint64]
	for key := range uint64(600) {
		records.Add(key, key, now.Add(time.Hour), r, now)
	}
	m := members[500]
	for b.Loop() {
		m.Heartbeats++
		m.Incarnation++
		r.Observe([]Member{m}, now)
		records.TakeUnsent(r, now)
	}
}
