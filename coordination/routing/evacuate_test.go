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

// evacuationBound is how long after the operators' change requests may still reach an
// evacuated domain.
const evacuationBound = 5 * time.Second

// evacuationWorld is a fleet whose daemons learn of documents from a few readers of the store
// and from each other, in messages that are lost, late and repeated.
type evacuationWorld struct {
	rng     *rand.Rand
	now     time.Duration
	lost    float64 // share of the messages
	daemons []*evacuationDaemon
	mail    map[time.Duration][]evacuationMail // by the step at which it arrives
	// obey takes a document over; a naive one takes whatever comes last.
	obey func(*evacuationDaemon, feed.Item)
}

type evacuationDaemon struct {
	feed      *feed.Feed
	last      feed.Revision // of what it obeyed
	evacuated *routing.Evacuations
	news      int // messages that it still sends
}

type evacuationMail struct {
	to   int
	item feed.Item
}

const evacuationStep = 50 * time.Millisecond

// readersOfFleet is how many daemons read the store, whatever the size of the fleet.
const readersOfFleet = 4

func newEvacuationWorld(daemons int, seed uint64) *evacuationWorld {
	w := &evacuationWorld{rng: rand.New(rand.NewPCG(seed, 9)), mail: make(map[time.Duration][]evacuationMail), obey: obeyNewest}
	for range daemons {
		w.daemons = append(w.daemons, &evacuationDaemon{feed: feed.New(nil), evacuated: routing.NewEvacuations()})
	}
	return w
}

// obeyNewest takes a document over if the feed finds it newer than what is held.
func obeyNewest(d *evacuationDaemon, it feed.Item) {
	for _, changed := range d.feed.Apply([]feed.Item{it}) {
		d.take(changed)
	}
}

// obeyLatest is naive: it takes over what came last.
func obeyLatest(d *evacuationDaemon, it feed.Item) { d.take(it) }

func (d *evacuationDaemon) take(it feed.Item) {
	const newsTimes = 5
	if it.Revision > d.last {
		d.last, d.news = it.Revision, newsTimes
	}
	if it.Gone {
		d.evacuated.End("z0", epoch)
		return
	}
	d.evacuated.Begin("z0")
}

// write has the store take a document: its readers learn of it within .6 s.
func (w *evacuationWorld) write(it feed.Item) {
	for i := range readersOfFleet {
		w.post(i, it, time.Duration(w.rng.Int64N(int64(600*time.Millisecond))))
	}
}

func (w *evacuationWorld) post(to int, it feed.Item, delay time.Duration) {
	at := (w.now + delay).Truncate(evacuationStep) + evacuationStep
	w.mail[at] = append(w.mail[at], evacuationMail{to, it})
}

// step delivers what is due, and has each daemon pass on what is new to it, to five others
// each 400 ms; some messages come late, when a newer document has long been known.
func (w *evacuationWorld) step(documents []feed.Item) {
	w.now += evacuationStep
	for _, m := range w.mail[w.now] {
		w.obey(w.daemons[m.to], m.item)
	}
	delete(w.mail, w.now)
	if w.now%(400*time.Millisecond) != 0 {
		return
	}
	for _, d := range w.daemons {
		for range min(5, d.news*5) {
			if w.rng.Float64() < w.lost {
				continue
			}
			delay := time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))
			if w.rng.Float64() < .02 {
				delay = 2 * time.Second
			}
			i := slices.IndexFunc(documents, func(it feed.Item) bool { return it.Revision == d.last })
			w.post(w.rng.IntN(len(w.daemons)), documents[i], delay)
		}
		d.news = max(0, d.news-1)
	}
}

// play writes documents that evacuate a domain and take it back by turns, and returns how
// many daemons stand against the newest of them after the bound.
func (w *evacuationWorld) play(changes int) (wrong int) {
	var documents []feed.Item
	for i := range changes {
		documents = append(documents, feed.Item{Key: "z0", Revision: feed.Revision(i + 1), Gone: i%2 == 1})
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
		if isEvacuated := len(d.evacuated.Domains()) > 0; isEvacuated == documents[changes-1].Gone {
			wrong++
		}
	}
	return wrong
}

// TestAnEvacuationReachesTheFleet evacuates a domain and takes it back in quick succession,
// while a tenth of the messages between daemons is lost and some come two seconds late: after
// the bound every daemon obeys the newest document.
func TestAnEvacuationReachesTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom(fleetSizes).Draw(t, "daemons")
		w := newEvacuationWorld(n, rapid.Uint64().Draw(t, "seed"))
		w.lost = .1
		if wrong := w.play(rapid.IntRange(1, 5).Draw(t, "changes")); wrong > 0 {
			t.Fatalf("%d of %d daemons do not obey the newest document", wrong, n)
		}
	})
}

// TestLateDocumentsBreakWhatObeysTheLatest holds that the world above is hard enough: daemons
// that take over whatever comes last end with an old document.
func TestLateDocumentsBreakWhatObeysTheLatest(t *testing.T) {
	for _, n := range fleetSizes {
		wrong := 0
		for seed := range uint64(5) {
			w := newEvacuationWorld(n, seed)
			w.obey = obeyLatest
			wrong += w.play(5)
		}
		if wrong == 0 && n > readersOfFleet*2 {
			t.Errorf("%d daemons that obey the latest document all end with the newest", n)
		}
	}
}

// TestEvacuatedReplicasGetNothing draws what a choice can meet: evacuated domains, replicas
// that fail, loads, hot prompts, earlier attempts, a domain that is cut off. No replica of an
// evacuated domain is chosen, and a request is refused only if there is no other.
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
			t.Fatalf("a request was refused although a replica of the own domain is left")
		}
	})
}

var _ = Describe("Evacuations", func() {
	It("hold replicas back until the domain is taken back, and then count them as cold", func() {
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

	It("leave evacuated replicas as sources of copies", func() {
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
