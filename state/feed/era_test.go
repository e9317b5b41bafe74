package feed_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/state/feed"
)

// numbered reads documents whose text is START.WRITE, with an f at the end of the final one of a start.
// Documents of the key "config" last.
type numbered struct{}

func (numbered) Age(it feed.Item) feed.Age {
	var a feed.Age
	text, final := strings.CutSuffix(string(it.Value), "f")
	if _, err := fmt.Sscanf(text, "%d.%d", &a.Start, &a.Write); err != nil {
		return feed.Age{}
	}
	a.Known, a.Final = true, final
	return a
}

func (numbered) Lasts(key string) bool { return key == "config" }

func doc(key, text string, at feed.Revision) feed.Item {
	return feed.Item{Key: key, Value: []byte(text), Revision: at}
}

func texts(f *feed.Feed) string {
	var out []string
	f.Each(func(it feed.Item) { out = append(out, it.Key+"="+string(it.Value)) })
	return strings.Join(out, " ")
}

// listed returns a feed in era 1 with some documents.
func listed(items ...feed.Item) *feed.Feed {
	f := feed.New(numbered{})
	f.Enter(1)
	f.ApplyList(items, 29)
	return f
}

var _ = Describe("A feed that enters another era", func() {
	It("takes over what is written at a revision that was given out before", func() {
		f := listed(doc("a", "1.1", 20), doc("b", "1.2", 29))
		f.Enter(2)
		Expect(f.ApplyList([]feed.Item{doc("a", "1.1", 20), doc("b", "1.1", 3)}, 26)).To(BeEmpty(), "b is newer by its own word")
		Expect(f.Apply([]feed.Item{doc("a", "1.2", 27), doc("b", "1.3", 28)})).To(HaveLen(2))
		Expect(texts(f)).To(Equal("a=1.2 b=1.3"))
		Expect(f.Position()).To(Equal(feed.Position{Era: 2, Revision: 28}))
	})

	DescribeTable("weighs a document of before against the copy's by what both say",
		func(before, copied, want string) {
			f := listed(doc("a", before, 29))
			f.Enter(2)
			f.ApplyList([]feed.Item{doc("a", copied, 20)}, 26)
			Expect(texts(f)).To(Equal("a=" + want))
		},
		Entry("a later write stays", "1.9", "1.5", "1.9"),
		Entry("an earlier one goes", "1.5", "1.9", "1.9"),
		Entry("a later start stays", "2.1", "1.9", "2.1"),
		Entry("an earlier start goes", "1.9", "2.1", "2.1"),
		Entry("the final one of a start stays, where writes are not numbered", "1.0f", "1.0", "1.0f"),
		Entry("but not against a later start", "1.0f", "2.0", "2.0"),
		Entry("the store decides on what says nothing", "x", "y", "y"),
		Entry("the store decides if only the former says something", "1.1", "y", "y"),
	)

	DescribeTable("weighs a removal of before against the copy's document",
		func(last, copied, want string) {
			f := listed(doc("a", last, 28), doc("b", "1.1", 1))
			f.Apply([]feed.Item{{Key: "a", Revision: 29, Gone: true}})
			f.Enter(2)
			f.ApplyList([]feed.Item{doc("a", copied, 20), doc("b", "1.1", 1)}, 26)
			Expect(texts(f)).To(Equal(strings.TrimSpace(want + " b=1.1")))
		},
		Entry("it stays gone", "1.5", "1.5", ""),
		Entry("also against an earlier write", "1.5", "1.4", ""),
		Entry("a later write brings it back", "1.5", "1.6", "a=1.6"),
		Entry("a later start, too", "1.5", "2.1", "a=2.1"),
		Entry("what says nothing of itself is as the store says", "x", "y", "a=y"),
		Entry("nothing says that the copy's is newer", "x", "1.5", ""),
	)

	It("holds what the copy lacks until its writer had time to write it again", func() {
		f := listed(doc("a", "1.1", 28), doc("b", "1.1", 29), doc("config", "0.7", 27))
		f.Enter(2)
		f.ApplyList(nil, 20)
		Expect(texts(f)).To(Equal("a=1.1 b=1.1 config=0.7"))
		Expect(f.Apply([]feed.Item{doc("a", "1.1", 21)})).To(BeEmpty(), "as it was")
		gone := f.DropMissing()
		Expect(gone).To(HaveLen(1))
		Expect(gone[0].Key).To(Equal("b"))
		Expect(texts(f)).To(Equal("a=1.1 config=0.7"))
		Expect(f.Apply([]feed.Item{doc("b", "1.1", 22)})).To(HaveLen(1), "it was only late")
	})

	It("takes the store's older document after a while, but not one that lasts", func() {
		f := listed(doc("a", "1.9", 29), doc("config", "0.9", 28))
		f.Enter(2)
		f.ApplyList([]feed.Item{doc("a", "1.5", 20), doc("config", "0.5", 19)}, 26)
		Expect(f.DropMissing()).To(BeEmpty())
		Expect(f.Yield()).To(HaveLen(1))
		Expect(texts(f)).To(Equal("a=1.5 config=0.9"))
	})

	It("tells one that has read the copy what the copy lacks", func() {
		from := listed(doc("a", "1.9f", 29), doc("b", "1.1", 28), doc("config", "0.9", 27))
		from.Apply([]feed.Item{{Key: "b", Revision: 30, Gone: true}})
		copied := []feed.Item{doc("a", "1.5", 20), doc("b", "1.1", 21), doc("config", "0.5", 19)}
		started := feed.New(numbered{})
		for _, f := range []*feed.Feed{from, started} {
			f.Enter(2)
			f.ApplyList(copied, 26)
		}
		Expect(texts(started)).To(Equal("a=1.5 b=1.1 config=0.5"))
		items, whole := from.Since(started.Revision())
		Expect(whole).To(BeFalse())
		Expect(started.ApplyChanges(items, from.Revision())).To(HaveLen(3))
		Expect(texts(started)).To(Equal("a=1.9f config=0.9"))
		Expect(started.Yield()).To(HaveLen(2))
		Expect(texts(started)).To(Equal("a=1.5 b=1.1 config=0.9"))
	})

	It("enters it by a peer's documents with nothing but what differs", func() {
		var all []feed.Item
		for i := range 10000 {
			all = append(all, doc(fmt.Sprintf("k%05d", i), "1.1", feed.Revision(i+1)))
		}
		from, to := feed.New(numbered{}), feed.New(numbered{})
		for _, f := range []*feed.Feed{from, to} {
			f.Enter(1)
			f.ApplyList(all, 10000)
		}
		from.Enter(2)
		from.ApplyList(all, 10000)
		from.Apply([]feed.Item{doc("k00007", "1.2", 10001)})
		digest := from.Digest(false)
		parts := to.Differing(digest)
		items, whole := from.SinceWith(digest.Revision, parts)
		Expect(whole).To(BeFalse())
		Expect(len(items)).To(BeNumerically("<", 100))
		Expect(to.ApplyParts(items, from.Revision(), digest, parts)).To(HaveLen(1))
		Expect(to.Position()).To(Equal(from.Position()))
		Expect(to.DropMissing()).To(BeEmpty(), "what stands as it was is not former")
		Expect(texts(to)).To(Equal(texts(from)))
	})

	It("stays in its era where another part has changed meanwhile", func() {
		from, to := listed(doc("a", "1.1", 5)), listed(doc("a", "1.1", 5))
		from.Enter(2)
		from.ApplyList([]feed.Item{doc("a", "1.1", 5)}, 20)
		digest := from.Digest(false)
		parts := to.Differing(digest)
		Expect(parts.Any()).To(BeFalse())
		to.Apply([]feed.Item{doc("b", "1.1", 30)})
		Expect(to.ApplyParts(nil, digest.Revision, digest, parts)).To(BeEmpty())
		Expect(to.Position().Era).To(Equal(feed.Era(1)))
	})
})

// world is a store that comes back from copies of itself, with the writers of its documents.
type world struct {
	t       *rapid.T
	era     feed.Era
	history []feed.Item // of the era's lineage
	held    map[string]feed.Item
	writers map[string]*writer
	copies  []worldCopy
}

type worldCopy struct {
	history []feed.Item
	held    map[string]feed.Item
}

// writer is who writes a document: its last word, which it writes again after a return.
type writer struct {
	start, write int
	final, left  bool
}

func (w *writer) text() string {
	text := fmt.Sprintf("%d.%d", w.start, w.write)
	if w.final {
		text += "f"
	}
	return text
}

func newWorld(t *rapid.T) *world {
	return &world{t: t, era: 1, held: make(map[string]feed.Item), writers: make(map[string]*writer)}
}

func (w *world) revision() feed.Revision { return feed.Revision(len(w.history)) }

func (w *world) write(it feed.Item) {
	it.Revision = w.revision() + 1
	w.history = append(w.history, it)
	if it.Gone {
		delete(w.held, it.Key)
		return
	}
	w.held[it.Key] = it
}

// act has a writer do something new: write, say its last word, leave or start again.
func (w *world) act() {
	key := rapid.SampledFrom([]string{"a", "b", "c", "config"}).Draw(w.t, "key")
	a := w.writers[key]
	if a == nil {
		a = &writer{start: 1}
		w.writers[key] = a
	}
	a.write++
	if key != "config" {
		switch rapid.IntRange(0, 3).Draw(w.t, "act") {
		case 0:
			a.final = true
		case 1:
			a.left = true
		case 2:
			a.start, a.write, a.final, a.left = a.start+1, 1, false, false
		}
	}
	w.say(key, a)
}

// say writes a writer's last word.
func (w *world) say(key string, a *writer) {
	if !a.left {
		w.write(feed.Item{Key: key, Value: []byte(a.text())})
		return
	}
	if _, ok := w.held[key]; ok {
		w.write(feed.Item{Key: key, Gone: true})
	}
}

// restore puts a copy in the store's place.
func (w *world) restore() {
	if len(w.copies) == 0 {
		return
	}
	c := w.copies[rapid.IntRange(0, len(w.copies)-1).Draw(w.t, "copy")]
	w.era++
	w.history, w.held = slices.Clone(c.history), maps.Clone(c.held)
	w.copies = []worldCopy{c}
}

// rewrite has all writers write again what the store lacks.
func (w *world) rewrite() {
	for _, key := range []string{"a", "b", "c", "config"} {
		a := w.writers[key]
		if a == nil {
			continue
		}
		held, ok := w.held[key]
		if ok == a.left || ok && string(held.Value) != a.text() {
			w.say(key, a)
		}
	}
}

// node is a daemon of the property: a feed, and what its watch has seen.
type node struct {
	f     *feed.Feed
	watch feed.Position
}

func newNode() *node { return &node{f: feed.New(numbered{})} }

// list reads the store.
func (n *node) list(w *world) {
	if n.f.Position().Era > w.era {
		return
	}
	if n.f.Position().Era < w.era {
		n.f.Enter(w.era)
	}
	var items []feed.Item
	for _, it := range w.held {
		items = append(items, it)
	}
	slices.SortFunc(items, func(a, b feed.Item) int { return cmp.Compare(a.Key, b.Key) })
	n.f.ApplyList(items, w.revision())
	n.watch = feed.Position{Era: w.era, Revision: w.revision()}
}

// follow reads what has changed since.
func (n *node) follow(w *world) {
	if n.watch.Era != w.era || n.watch.Era != n.f.Position().Era || n.watch.Revision > w.revision() {
		n.list(w)
		return
	}
	n.f.Apply(w.history[n.watch.Revision:])
	n.watch.Revision = w.revision()
}

// ask has a daemon ask another one, as daemon/routes does.
func (n *node) ask(from *node) {
	own, at := n.f.Position(), from.f.Position()
	if at.Era < own.Era {
		n.f.ApplyFormer(from.f.Lasting())
		return
	}
	after := n.f.AskAfter()
	if own.Era != at.Era {
		after = 0
	}
	items, whole := from.f.Since(after)
	if !whole {
		n.f.ApplyChanges(items, at.Revision)
		return
	}
	digest := from.f.Digest(own.Era == at.Era)
	parts := n.f.Differing(digest)
	items, whole = from.f.SinceWith(digest.Revision, parts)
	if whole || own == (feed.Position{}) {
		items, _ = from.f.Since(0)
		if n.f.Position().Era < at.Era {
			n.f.Enter(at.Era)
		}
		n.f.ApplyList(items, at.Revision)
		return
	}
	n.f.ApplyParts(items, at.Revision, digest, parts)
}

// TestAllAgreeWithTheStoreAfterItCameBack plays writers, a store that comes back from copies, and
// daemons that list, watch, start and ask each other in any order. No process goes back to an older
// configuration, or from a start's final document to another of that start. Once the writers have
// written again what was lost, and the time of former documents is over, all hold what the store does.
func TestAllAgreeWithTheStoreAfterItCameBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		nodes := []*node{newNode(), newNode(), newNode()}
		seen := make([]map[string]feed.Age, len(nodes))
		for i := range seen {
			seen[i] = make(map[string]feed.Age)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "daemon")
			n := nodes[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				w.act()
			case 3:
				w.copies = append(w.copies, worldCopy{slices.Clone(w.history), maps.Clone(w.held)})
			case 4:
				w.restore()
				if rapid.Bool().Draw(t, "written again at once") {
					w.rewrite()
				}
			case 5:
				nodes[i], seen[i] = newNode(), make(map[string]feed.Age)
			case 6:
				n.list(w)
			case 7:
				n.follow(w)
			default:
				if from := nodes[rapid.IntRange(0, 2).Draw(t, "from")]; from != n && from.f.Revision() > 0 {
					n.ask(from)
				}
			}
			for i, n := range nodes {
				n.f.Each(func(it feed.Item) {
					was, is := seen[i][it.Key], numbered{}.Age(it)
					if it.Key == "config" && is.Write < was.Write {
						t.Fatalf("daemon %d went back from configuration %d to %d", i, was.Write, is.Write)
					}
					if it.Key != "config" && is.Start == was.Start && was.Final && !is.Final {
						t.Fatalf("daemon %d went back from %s's final document of start %d", i, it.Key, is.Start)
					}
					seen[i][it.Key] = is
				})
			}
		}
		w.rewrite()
		nodes[0].list(w) // the others do not reach the store
		for _, n := range nodes[1:] {
			for n.f.Position().Before(nodes[0].f.Position()) {
				n.ask(nodes[0])
			}
		}
		for _, n := range nodes {
			n.f.DropMissing()
			n.f.Yield()
		}
		var want []string
		for _, key := range []string{"a", "b", "c", "config"} {
			if it, ok := w.held[key]; ok {
				want = append(want, key+"="+string(it.Value))
			}
		}
		for i, n := range nodes {
			if got := texts(n.f); got != strings.Join(want, " ") {
				t.Fatalf("daemon %d holds %q, the store %q", i, got, strings.Join(want, " "))
			}
		}
	})
}
