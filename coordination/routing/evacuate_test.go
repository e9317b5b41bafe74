package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// evacuationBound is how long after the operators' change requests may still reach an evacuated
// domain.
const evacuationBound = 5 * time.Second

// evacuationSim simulates a fleet whose daemons learn of documents from a few store readers and
// from each other, in messages that may be lost, delayed or duplicated.
type evacuationSim struct {
	rng      *rand.Rand
	now      time.Duration
	lossRate float64 // fraction of the messages
	daemons  []*evacuationDaemon
	inFlight map[time.Duration][]evacuationMessage // by the time of arrival, in steps
	// apply applies a document; the naive version applies whatever arrives last.
	apply func(*evacuationDaemon, feed.Item)
}

type evacuationDaemon struct {
	feed          *feed.Feed
	last          feed.Revision // of the last document applied
	evacuated     *routing.Evacuations
	forwardRounds int // rounds for which it still forwards the document
}

type evacuationMessage struct {
	to   int
	item feed.Item
}

const evacuationStep = 50 * time.Millisecond

// storeReaders is the number of daemons that read the store, in a fleet of any size.
const storeReaders = 4

func newEvacuationSim(daemons int, seed uint64) *evacuationSim {
	w := &evacuationSim{rng: rand.New(rand.NewPCG(seed, 9)), inFlight: make(map[time.Duration][]evacuationMessage), apply: applyNewest}
	for range daemons {
		w.daemons = append(w.daemons, &evacuationDaemon{feed: feed.New(nil), evacuated: routing.NewEvacuations()})
	}
	return w
}

// applyNewest applies a document if the feed finds it newer than the current one.
func applyNewest(d *evacuationDaemon, it feed.Item) {
	for _, changed := range d.feed.Apply([]feed.Item{it}) {
		d.take(changed)
	}
}

// applyLast is naive: it applies whatever arrives last.
func applyLast(d *evacuationDaemon, it feed.Item) { d.take(it) }

func (d *evacuationDaemon) take(it feed.Item) {
	const rounds = 5
	if it.Revision > d.last {
		d.last, d.forwardRounds = it.Revision, rounds
	}
	if it.Deleted {
		d.evacuated.End("z0", epoch)
		return
	}
	d.evacuated.Begin("z0")
}

// write stores a document. The store readers receive it within .6 s.
func (w *evacuationSim) write(it feed.Item) {
	for i := range storeReaders {
		w.post(i, it, time.Duration(w.rng.Int64N(int64(600*time.Millisecond))))
	}
}

func (w *evacuationSim) post(to int, it feed.Item, delay time.Duration) {
	at := (w.now + delay).Truncate(evacuationStep) + evacuationStep
	w.inFlight[at] = append(w.inFlight[at], evacuationMessage{to, it})
}

// step delivers the messages that are due. Every 400 ms each daemon forwards what is new to it to
// five others; some messages arrive so late that a newer document has long been known.
func (w *evacuationSim) step(documents []feed.Item) {
	w.now += evacuationStep
	for _, m := range w.inFlight[w.now] {
		w.apply(w.daemons[m.to], m.item)
	}
	delete(w.inFlight, w.now)
	if w.now%(400*time.Millisecond) != 0 {
		return
	}
	for _, d := range w.daemons {
		for range min(5, d.forwardRounds*5) {
			if w.rng.Float64() < w.lossRate {
				continue
			}
			delay := time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))
			if w.rng.Float64() < .02 {
				delay = 2 * time.Second
			}
			i := slices.IndexFunc(documents, func(it feed.Item) bool { return it.Revision == d.last })
			w.post(w.rng.IntN(len(w.daemons)), documents[i], delay)
		}
		d.forwardRounds = max(0, d.forwardRounds-1)
	}
}

// runChanges writes documents that evacuate a domain and end the evacuation in turn, and returns
// the number of daemons that have not applied the newest one after the bound.
func (w *evacuationSim) runChanges(changes int) (wrong int) {
	var documents []feed.Item
	for i := range changes {
		documents = append(documents, feed.Item{Key: "z0", Revision: feed.Revision(i + 1), Deleted: i%2 == 1})
		w.write(documents[i])
		pause := time.Second
		if i == changes-1 {
			pause = evacuationBound
		}
		for end := w.now + pause; w.now < end; {
			w.step(documents)
		}
	}
	for _, d := range w.daemons {
		if isEvacuated := len(d.evacuated.Domains()) > 0; isEvacuated == documents[changes-1].Deleted {
			wrong++
		}
	}
	return wrong
}

// TestEvacuationReachesFleet evacuates a domain and ends the evacuation in quick succession,
// while a tenth of the messages between daemons is lost and some arrive two seconds late. After
// the bound every daemon must have applied the newest document.
func TestEvacuationReachesFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom(fleetSizes).Draw(t, "daemons")
		w := newEvacuationSim(n, rapid.Uint64().Draw(t, "seed"))
		w.lossRate = .1
		if wrong := w.runChanges(rapid.IntRange(1, 5).Draw(t, "changes")); wrong > 0 {
			t.Fatalf("%d of %d daemons have not applied the newest document", wrong, n)
		}
	})
}

// TestLateDocumentsBreakApplyLast checks that the simulation above is hard enough: daemons that
// apply whatever arrives last must end with an old document.
func TestLateDocumentsBreakApplyLast(t *testing.T) {
	for _, n := range fleetSizes {
		wrong := 0
		for seed := range uint64(5) {
			w := newEvacuationSim(n, seed)
			w.apply = applyLast
			wrong += w.runChanges(5)
		}
		if wrong == 0 && n > storeReaders*2 {
			t.Errorf("%d daemons that apply whatever arrives last all end with the newest document", n)
		}
	}
}

// TestEvacuatedReplicasGetNothing draws the conditions of a choice: evacuated domains, failing
// replicas, loads, hot prompts, earlier attempts, a domain that is cut off. No replica of an
// evacuated domain may be chosen, and a request may be refused only if there is no other replica.
func TestEvacuatedReplicasGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		f := newFleet("llm", "z0", "z0", "z1", "z1", "z2", "z2")
		f.view.LargeFleet = rapid.Bool().Draw(t, "large fleet")
		f.placer.Overloads = routing.NewOverloads()
		all := slices.Clone(f.pool.Ready)
		for i := range all {
			if rapid.Bool().Draw(t, "fails") {
				f.placer.Health.Report(&all[i], routing.ResultUnreachable, epoch)
			}
			f.load(all[i], rapid.IntRange(0, 20).Draw(t, "load"))
		}
		if rapid.Bool().Draw(t, "z1 is cut off") {
			f.placer.Health.ObserveDomains(map[state.FailureDomain]time.Time{"z1": epoch.Add(-time.Minute)}, time.Second)
		}
		e := routing.NewEvacuations()
		evacuated := make(map[state.FailureDomain]bool)
		for _, d := range []state.FailureDomain{"z0", "z1", "z2"} {
			if evacuated[d] = rapid.Bool().Draw(t, "evacuated"); evacuated[d] {
				e.Begin(d)
			}
		}
		e.Apply(f.pool, coldStart)
		f.pool.Sort()
		var tried routing.Tried
		for range 6 {
			target, ok := f.placer.Choose(f.view, chat(fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "subject"))), tried, epoch)
			if !ok {
				break
			}
			if evacuated[target.Replica.Domain] {
				t.Fatalf("%s was chosen although %s is evacuated", target.Replica.ID, target.Replica.Domain)
			}
			tried.Replicas = append(tried.Replicas, target.Replica.ID)
		}
		if len(tried.Replicas) == 0 && len(f.pool.Ready) > 0 && !evacuated["z0"] {
			t.Fatalf("a request was refused although a replica of the daemon's own domain is left")
		}
	})
}

var _ = Describe("Evacuations", func() {
	It("exclude replicas until the evacuation ends, and then mark them as cold", func() {
		e := routing.NewEvacuations()
		Expect(e.Begin("z0")).To(BeTrue())
		Expect(e.Begin("z0")).To(BeFalse())
		Expect(e.Domains()).To(Equal([]state.FailureDomain{"z0"}))
		f := newFleet("llm", "z0", "z1")
		e.Apply(f.pool, coldStart)
		Expect(f.pool.Ready).To(HaveLen(1))
		Expect(f.pool.Evacuated).To(HaveLen(1))

		Expect(e.End("z0", epoch)).To(BeTrue())
		Expect(e.End("z0", epoch)).To(BeFalse())
		f = newFleet("llm", "z0", "z1")
		e.Apply(f.pool, coldStart)
		Expect(f.pool.Ready[0].IsCold(epoch.Add(coldStart - 1))).To(BeTrue())
		Expect(f.pool.Ready[0].IsCold(epoch.Add(coldStart))).To(BeFalse())
		Expect(f.pool.Ready[1].IsCold(epoch)).To(BeFalse())
	})

	It("keep evacuated replicas as sources of prompt copies", func() {
		f := newFleet("llm", "z0", "z1")
		home := f.serve(chat("s"))
		e := routing.NewEvacuations()
		e.Begin(home.Domain)
		e.Apply(f.pool, coldStart)
		t := f.choose(chat("s"))
		Expect(t.Replica.ID).NotTo(Equal(home.ID))
		Expect(t.Source.ID).To(Equal(home.ID))
	})
})
