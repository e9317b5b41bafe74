package feed_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/state/feed"
)

func item(key string, revision feed.Revision) feed.Item {
	return feed.Item{Key: key, Revision: revision, Value: []byte(fmt.Sprint(key, revision))}
}

func keys(f *feed.Feed) []string {
	var out []string
	f.Each(func(it feed.Item) { out = append(out, string(it.Value)) })
	return out
}

var _ = Describe("Feed", func() {
	It("never goes back to an older document", func() {
		f := feed.New()
		Expect(f.Apply([]feed.Item{item("a", 5)})).To(HaveLen(1))
		Expect(f.Apply([]feed.Item{item("a", 4), item("a", 5)})).To(BeEmpty())
		Expect(f.Apply([]feed.Item{{Key: "a", Revision: 3, Gone: true}})).To(BeEmpty())
		Expect(keys(f)).To(Equal([]string{"a5"}))
	})

	It("takes what a whole list lacks as gone, unless it is newer than the list", func() {
		f := feed.New()
		f.Apply([]feed.Item{item("p/a", 5), item("p/b", 9)})
		changed := f.ApplyList(nil, 7)
		Expect(changed).To(HaveLen(1))
		Expect(changed[0].Gone).To(BeTrue())
		Expect(keys(f)).To(Equal([]string{"p/b9"}))
		Expect(f.Apply([]feed.Item{item("p/a", 6)})).To(BeEmpty(), "an old event must not bring it back")
		Expect(f.Apply([]feed.Item{item("p/a", 8)})).To(HaveLen(1))
	})

	It("returns everything where it has forgotten removals", func() {
		f := feed.New()
		for i := range 5000 {
			f.Apply([]feed.Item{{Key: fmt.Sprint(i), Revision: feed.Revision(i + 1), Gone: true}})
		}
		f.Apply([]feed.Item{item("a", 6000)})
		_, whole := f.Since(10)
		Expect(whole).To(BeTrue())
		items, whole := f.Since(5999)
		Expect(whole).To(BeFalse())
		Expect(items).To(HaveLen(1))
	})
})

// TestDaemonsAgree plays a store whose changes reach daemons in part, late and
// twice, and daemons that hand news on. Once all have heard from one that knows
// everything, all hold what the store holds.
func TestDaemonsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]feed.Item)
		var history []feed.Item
		daemons := []*feed.Feed{feed.New(), feed.New(), feed.New()}
		revision := feed.Revision(0)
		seen := make(map[string]feed.Revision)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d := daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				revision++
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				it := item(key, revision)
				it.Gone = rapid.Bool().Draw(t, "gone")
				store[key] = it
				history = append(history, it)
			case 2:
				if len(history) > 0 {
					d.Apply([]feed.Item{history[rapid.IntRange(0, len(history)-1).Draw(t, "event")]})
				}
			case 3:
				d.ApplyList(live(store), revision)
			case 4:
				from := daemons[rapid.IntRange(0, 2).Draw(t, "from")]
				items, whole := from.Since(0)
				if whole {
					d.Apply(items)
				}
			}
			daemons[0].Each(func(it feed.Item) {
				if it.Revision < seen[it.Key] {
					t.Fatalf("%s went back from %d to %d", it.Key, seen[it.Key], it.Revision)
				}
				seen[it.Key] = it.Revision
			})
		}
		daemons[0].ApplyList(live(store), revision)
		items, whole := daemons[0].Since(0)
		if !whole {
			t.Fatal("news since the beginning is not whole")
		}
		for i, d := range daemons[1:] {
			d.ApplyList(itemsLive(items), daemons[0].Revision())
			if got, want := fmt.Sprint(keys(d)), fmt.Sprint(keys(daemons[0])); got != want {
				t.Fatalf("daemon %d holds %s, want %s", i+1, got, want)
			}
		}
	})
}

func live(store map[string]feed.Item) []feed.Item {
	var out []feed.Item
	for _, it := range store {
		if !it.Gone {
			out = append(out, it)
		}
	}
	return out
}

func itemsLive(items []feed.Item) []feed.Item {
	var out []feed.Item
	for _, it := range items {
		if !it.Gone {
			out = append(out, it)
		}
	}
	return out
}
