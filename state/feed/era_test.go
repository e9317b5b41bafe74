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

// numberedVersions is a Versioner for documents whose text is INCARNATION.SEQUENCE, followed by an f in the final
// document of an incarnation. Documents of the key "config" are retained.
type numberedVersions struct{}

func (numberedVersions) Version(it feed.Item) feed.Version {
	var a feed.Version
	text, final := strings.CutSuffix(string(it.Value), "f")
	if _, err := fmt.Sscanf(text, "%d.%d", &a.Incarnation, &a.Sequence); err != nil {
		return feed.Version{}
	}
	a.Known, a.Final = true, final
	return a
}

func (numberedVersions) IsRetained(key string) bool { return key == "config" }

func doc(key, text string, at feed.Revision) feed.Item {
	return feed.Item{Key: key, Value: []byte(text), Revision: at}
}

func contents(f *feed.Feed) string {
	var out []string
	f.Each(func(it feed.Item) { out = append(out, it.Key+"="+string(it.Value)) })
	return strings.Join(out, " ")
}

// newListedFeed returns a feed in era 1 at revision 29 that has applied a list.
func newListedFeed(items ...feed.Item) *feed.Feed {
	f := feed.New(numberedVersions{})
	f.EnterEra(1)
	f.ApplyList(items, 29)
	return f
}

var _ = Describe("A feed that enters another era", func() {
	It("applies writes at revisions that were already used in the previous era", func() {
		f := newListedFeed(doc("a", "1.1", 20), doc("b", "1.2", 29))
		f.EnterEra(2)
		Expect(f.ApplyList([]feed.Item{doc("a", "1.1", 20), doc("b", "1.1", 3)}, 26)).To(BeEmpty(), "the held b has a newer version")
		Expect(f.Apply([]feed.Item{doc("a", "1.2", 27), doc("b", "1.3", 28)})).To(HaveLen(2))
		Expect(contents(f)).To(Equal("a=1.2 b=1.3"))
		Expect(f.Position()).To(Equal(feed.Position{Era: 2, Revision: 28}))
	})

	DescribeTable("compares the versions of a pre-restore document and the copy's document",
		func(before, copied, want string) {
			f := newListedFeed(doc("a", before, 29))
			f.EnterEra(2)
			f.ApplyList([]feed.Item{doc("a", copied, 20)}, 26)
			Expect(contents(f)).To(Equal("a=" + want))
		},
		Entry("a later write stays", "1.9", "1.5", "1.9"),
		Entry("an earlier write is replaced", "1.5", "1.9", "1.9"),
		Entry("a later incarnation stays", "2.1", "1.9", "2.1"),
		Entry("an earlier incarnation is replaced", "1.9", "2.1", "2.1"),
		Entry("the final document of an incarnation stays if writes are not numbered", "1.0f", "1.0", "1.0f"),
		Entry("the final document of an incarnation is replaced by a later one", "1.0f", "2.0", "2.0"),
		Entry("the store's is used if neither has a version", "x", "y", "y"),
		Entry("the store's is used if only the pre-restore document has a version", "1.1", "y", "y"),
	)

	// Guards against a document without a version, which may be one that is not usable, in place of a retained one: daemons that
	// start later would have none.
	It("keeps a retained document if the copy's has no version", func() {
		f := newListedFeed(doc("config", "1.1", 29))
		f.EnterEra(2)
		f.ApplyList([]feed.Item{doc("config", "y", 20)}, 26)
		Expect(f.AcceptOverruled()).To(BeEmpty())
		Expect(contents(f)).To(Equal("config=1.1"))
		f.Apply([]feed.Item{doc("config", "1.2", 27)})
		Expect(contents(f)).To(Equal("config=1.2"))
	})

	// Guards against daemons without a configuration, if they start while the store's is not usable.
	It("keeps a retained document if the next one has no version, also at a peer that holds only that one", func() {
		f := newListedFeed(doc("config", "1.5", 20), doc("a", "1.1", 21))
		Expect(f.Apply([]feed.Item{doc("config", "x", 30), doc("a", "x", 31)})).To(ConsistOf(doc("a", "x", 31)))
		Expect(f.Apply([]feed.Item{doc("config", "y", 32)})).To(BeEmpty())
		Expect(contents(f)).To(Equal("a=x config=1.5"))
		f.DropMissing()
		Expect(f.AcceptOverruled()).To(BeEmpty())
		overruled, _ := f.Overruled("config")
		Expect(overruled).To(Equal(doc("config", "y", 32)))

		peer := newListedFeed(doc("config", "y", 32), doc("a", "x", 31))
		peer.Advance(32)
		items, _ := f.Since(32)
		peer.ApplyChanges(items, 32)
		Expect(contents(peer)).To(Equal("a=x config=1.5"))
		Expect(peer.Differing(f.Digest(true)).Any()).To(BeFalse())

		for _, g := range []*feed.Feed{f, peer} {
			Expect(g.Apply([]feed.Item{doc("config", "1.6", 33)})).To(HaveLen(1))
			Expect(contents(g)).To(Equal("a=x config=1.6"))
			Expect(g.Apply([]feed.Item{{Key: "config", Revision: 34, Deleted: true}})).To(HaveLen(1))
			Expect(contents(g)).To(Equal("a=x"))
		}
	})

	It("removes a retained document that outlasted one without a version if the store has none", func() {
		f := newListedFeed(doc("config", "1.5", 20))
		f.Apply([]feed.Item{doc("config", "x", 30)})
		f.ApplyList(nil, 31)
		Expect(contents(f)).To(BeEmpty())
	})

	DescribeTable("compares the versions of a pre-restore removal and the copy's document",
		func(last, copied, want string) {
			f := newListedFeed(doc("a", last, 28), doc("b", "1.1", 1))
			f.Apply([]feed.Item{{Key: "a", Revision: 29, Deleted: true}})
			f.EnterEra(2)
			f.ApplyList([]feed.Item{doc("a", copied, 20), doc("b", "1.1", 1)}, 26)
			Expect(contents(f)).To(Equal(strings.TrimSpace(want + " b=1.1")))
		},
		Entry("the same write stays removed", "1.5", "1.5", ""),
		Entry("an earlier write stays removed", "1.5", "1.4", ""),
		Entry("a later write restores the document", "1.5", "1.6", "a=1.6"),
		Entry("a later incarnation restores the document", "1.5", "2.1", "a=2.1"),
		Entry("the store's is used if neither has a version", "x", "y", "a=y"),
		Entry("it stays removed if only the copy's has a version", "x", "1.5", ""),
	)

	It("keeps documents that the copy lacks until their writers had time to write them again", func() {
		f := newListedFeed(doc("a", "1.1", 28), doc("b", "1.1", 29), doc("config", "0.7", 27))
		f.EnterEra(2)
		f.ApplyList(nil, 20)
		Expect(contents(f)).To(Equal("a=1.1 b=1.1 config=0.7"))
		Expect(f.Apply([]feed.Item{doc("a", "1.1", 21)})).To(BeEmpty(), "a is unchanged")
		gone := f.DropMissing()
		Expect(gone).To(HaveLen(1))
		Expect(gone[0].Key).To(Equal("b"))
		Expect(contents(f)).To(Equal("a=1.1 config=0.7"))
		Expect(f.Apply([]feed.Item{doc("b", "1.1", 22)})).To(HaveLen(1), "b is written again late")
	})

	It("accepts overruled documents of the store, except for retained keys", func() {
		f := newListedFeed(doc("a", "1.9", 29), doc("config", "0.9", 28))
		f.EnterEra(2)
		f.ApplyList([]feed.Item{doc("a", "1.5", 20), doc("config", "0.5", 19)}, 26)
		Expect(f.DropMissing()).To(BeEmpty())
		Expect(f.AcceptOverruled()).To(HaveLen(1))
		Expect(contents(f)).To(Equal("a=1.5 config=0.9"))
	})

	It("sends a peer that has read the copy what the copy lacks", func() {
		from := newListedFeed(doc("a", "1.9f", 29), doc("b", "1.1", 28), doc("config", "0.9", 27))
		from.Apply([]feed.Item{{Key: "b", Revision: 30, Deleted: true}})
		copied := []feed.Item{doc("a", "1.5", 20), doc("b", "1.1", 21), doc("config", "0.5", 19)}
		started := feed.New(numberedVersions{})
		for _, f := range []*feed.Feed{from, started} {
			f.EnterEra(2)
			f.ApplyList(copied, 26)
		}
		Expect(contents(started)).To(Equal("a=1.5 b=1.1 config=0.5"))
		items, complete := from.Since(started.Revision())
		Expect(complete).To(BeFalse())
		Expect(started.ApplyChanges(items, from.Revision())).To(HaveLen(3))
		Expect(contents(started)).To(Equal("a=1.9f config=0.9"))
		Expect(started.AcceptOverruled()).To(HaveLen(2))
		Expect(contents(started)).To(Equal("a=1.5 b=1.1 config=0.9"))
	})

	It("enters the era of a peer by fetching only the parts that differ", func() {
		var all []feed.Item
		for i := range 10000 {
			all = append(all, doc(fmt.Sprintf("k%05d", i), "1.1", feed.Revision(i+1)))
		}
		from, to := feed.New(numberedVersions{}), feed.New(numberedVersions{})
		for _, f := range []*feed.Feed{from, to} {
			f.EnterEra(1)
			f.ApplyList(all, 10000)
		}
		from.EnterEra(2)
		from.ApplyList(all, 10000)
		from.Apply([]feed.Item{doc("k00007", "1.2", 10001)})
		digest := from.Digest(false)
		parts := to.Differing(digest)
		items, complete := from.SinceWith(digest.Revision, parts)
		Expect(complete).To(BeFalse())
		Expect(len(items)).To(BeNumerically("<", 100))
		Expect(to.ApplyParts(items, from.Revision(), digest, parts)).To(HaveLen(1))
		Expect(to.Position()).To(Equal(from.Position()))
		Expect(to.DropMissing()).To(BeEmpty(), "unchanged documents are not pre-restore documents")
		Expect(contents(to)).To(Equal(contents(from)))
	})

	It("stays in its era if another part has changed in the meantime", func() {
		from, to := newListedFeed(doc("a", "1.1", 5)), newListedFeed(doc("a", "1.1", 5))
		from.EnterEra(2)
		from.ApplyList([]feed.Item{doc("a", "1.1", 5)}, 20)
		digest := from.Digest(false)
		parts := to.Differing(digest)
		Expect(parts.Any()).To(BeFalse())
		to.Apply([]feed.Item{doc("b", "1.1", 30)})
		Expect(to.ApplyParts(nil, digest.Revision, digest, parts)).To(BeEmpty())
		Expect(to.Position().Era).To(Equal(feed.Era(1)))
	})
})

// world models a store that is restored from backup copies, and the writers of its documents.
type world struct {
	t       *rapid.T
	era     feed.Era
	history []feed.Item // all changes that led to the current content
	held    map[string]feed.Item
	writers map[string]*writer
	backups []backup
}

type backup struct {
	history []feed.Item
	held    map[string]feed.Item
}

// writer is the state of the writer of a document. It determines the document, which the writer writes again
// after a restore.
type writer struct {
	incarnation, sequence int
	final, hasLeft        bool
}

func (w *writer) text() string {
	text := fmt.Sprintf("%d.%d", w.incarnation, w.sequence)
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
	if it.Deleted {
		delete(w.held, it.Key)
		return
	}
	w.held[it.Key] = it
}

// step has a writer take a step: it writes, writes its final document, leaves or restarts.
func (w *world) step() {
	key := rapid.SampledFrom([]string{"a", "b", "c", "config"}).Draw(w.t, "key")
	a := w.writers[key]
	if a == nil {
		a = &writer{incarnation: 1}
		w.writers[key] = a
	}
	a.sequence++
	if key != "config" {
		switch rapid.IntRange(0, 3).Draw(w.t, "act") {
		case 0:
			a.final = true
		case 1:
			a.hasLeft = true
		case 2:
			a.incarnation, a.sequence, a.final, a.hasLeft = a.incarnation+1, 1, false, false
		}
	}
	w.writeState(key, a)
}

// writeState writes the current document of a writer, or removes it if the writer has left.
func (w *world) writeState(key string, a *writer) {
	if !a.hasLeft {
		w.write(feed.Item{Key: key, Value: []byte(a.text())})
		return
	}
	if _, ok := w.held[key]; ok {
		w.write(feed.Item{Key: key, Deleted: true})
	}
}

// restore replaces the content of the store by a random copy and begins a new era.
func (w *world) restore() {
	if len(w.backups) == 0 {
		return
	}
	c := w.backups[rapid.IntRange(0, len(w.backups)-1).Draw(w.t, "copy")]
	w.era++
	w.history, w.held = slices.Clone(c.history), maps.Clone(c.held)
	w.backups = []backup{c}
}

// rewrite has all writers write their documents again where the store's differ.
func (w *world) rewrite() {
	for _, key := range []string{"a", "b", "c", "config"} {
		a := w.writers[key]
		if a == nil {
			continue
		}
		held, ok := w.held[key]
		if ok == a.hasLeft || ok && string(held.Value) != a.text() {
			w.writeState(key, a)
		}
	}
}

// node models a daemon: a feed and the position of its watch.
type node struct {
	f     *feed.Feed
	watch feed.Position
}

func newNode() *node { return &node{f: feed.New(numberedVersions{})} }

// listStore reads a complete list from the store.
func (n *node) listStore(w *world) {
	if n.f.Position().Era > w.era {
		return
	}
	if n.f.Position().Era < w.era {
		n.f.EnterEra(w.era)
	}
	var items []feed.Item
	for _, it := range w.held {
		items = append(items, it)
	}
	slices.SortFunc(items, func(a, b feed.Item) int { return cmp.Compare(a.Key, b.Key) })
	n.f.ApplyList(items, w.revision())
	n.watch = feed.Position{Era: w.era, Revision: w.revision()}
}

// watchStore reads the changes since the last read from the store, or a list if the watch can't continue.
func (n *node) watchStore(w *world) {
	if n.watch.Era != w.era || n.watch.Era != n.f.Position().Era || n.watch.Revision > w.revision() {
		n.listStore(w)
		return
	}
	n.f.Apply(w.history[n.watch.Revision:])
	n.watch.Revision = w.revision()
}

// syncFrom synchronizes the daemon with another one, using the same steps as daemon/routes.
func (n *node) syncFrom(from *node) {
	own, at := n.f.Position(), from.f.Position()
	if at.Era < own.Era {
		n.f.ApplyRetained(from.f.Retained())
		return
	}
	after := n.f.SyncAfter()
	if own.Era != at.Era {
		after = 0
	}
	items, complete := from.f.Since(after)
	if !complete {
		n.f.ApplyChanges(items, at.Revision)
		return
	}
	digest := from.f.Digest(own.Era == at.Era)
	parts := n.f.Differing(digest)
	items, complete = from.f.SinceWith(digest.Revision, parts)
	if complete || own == (feed.Position{}) {
		items, _ = from.f.Since(0)
		if n.f.Position().Era < at.Era {
			n.f.EnterEra(at.Era)
		}
		n.f.ApplyList(items, at.Revision)
		return
	}
	n.f.ApplyParts(items, at.Revision, digest, parts)
}

// TestDaemonsAgreeWithRestoredStore runs random sequences of writes, backups and restores of the store,
// and of daemons that list, watch, restart and fetch from each other. No process may go back to an older
// configuration, or from the final document of an incarnation to another of that incarnation. Once the writers have
// written lost documents again and the time limits for pre-restore documents have passed, all daemons must
// hold the same documents as the store.
func TestDaemonsAgreeWithRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		nodes := []*node{newNode(), newNode(), newNode()}
		seen := make([]map[string]feed.Version, len(nodes))
		for i := range seen {
			seen[i] = make(map[string]feed.Version)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "daemon")
			n := nodes[i]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				w.step()
			case 3:
				w.backups = append(w.backups, backup{slices.Clone(w.history), maps.Clone(w.held)})
			case 4:
				w.restore()
				if rapid.Bool().Draw(t, "rewrite at once") {
					w.rewrite()
				}
			case 5:
				nodes[i], seen[i] = newNode(), make(map[string]feed.Version)
			case 6:
				n.listStore(w)
			case 7:
				n.watchStore(w)
			default:
				if from := nodes[rapid.IntRange(0, 2).Draw(t, "from")]; from != n && from.f.Revision() > 0 {
					n.syncFrom(from)
				}
			}
			for i, n := range nodes {
				n.f.Each(func(it feed.Item) {
					was, is := seen[i][it.Key], numberedVersions{}.Version(it)
					if it.Key == "config" && is.Sequence < was.Sequence {
						t.Fatalf("daemon %d went back from configuration %d to %d", i, was.Sequence, is.Sequence)
					}
					if it.Key != "config" && is.Incarnation == was.Incarnation && was.Final && !is.Final {
						t.Fatalf("daemon %d went back from %s's final document of incarnation %d", i, it.Key, is.Incarnation)
					}
					seen[i][it.Key] = is
				})
			}
		}
		w.rewrite()
		nodes[0].listStore(w) // the others can't reach the store
		for _, n := range nodes[1:] {
			for n.f.Position().Before(nodes[0].f.Position()) {
				n.syncFrom(nodes[0])
			}
		}
		for _, n := range nodes {
			n.f.DropMissing()
			n.f.AcceptOverruled()
		}
		var want []string
		for _, key := range []string{"a", "b", "c", "config"} {
			if it, ok := w.held[key]; ok {
				want = append(want, key+"="+string(it.Value))
			}
		}
		for i, n := range nodes {
			if got := contents(n.f); got != strings.Join(want, " ") {
				t.Fatalf("daemon %d holds %q, the store %q", i, got, strings.Join(want, " "))
			}
		}
	})
}
