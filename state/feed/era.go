// This file carries documents over into another era of the store.
//
// When a feed enters an era, all that it holds becomes former: the revision of a former document is 0,
// before all of the new era. What is read in the era takes its place, with two exceptions, because the
// store has come back from a copy that lacks what was written last:
//
//  1. A former document stays where it is newer by its own word (Order): the copy is older. The
//     store's document is kept beside it, and takes its place if nothing newer has come after a
//     while (Yield). A document that lasts is never replaced by an older one.
//  2. A former document that the store does not have stays for a while: its writer writes it again, if
//     it lives (DropMissing).
//
// How long that is, the owner decides. Former documents are told to peers with the others, and by them
// a daemon that has read the copy learns what it lacks.

package feed

import (
	"bytes"
	"slices"
	"strings"
)

// Age is what a document says of its own age. Documents of one key are ordered by Start, then by
// Write.
type Age struct {
	Known bool
	Start uint64 // of its writer; higher is later
	Write uint64 // of that start; 0: it does not say
	// Final says that no other document of its start comes after it.
	Final bool
}

// Order knows what documents say of themselves.
type Order interface {
	// Age reads the age of a document, as its own text tells it. The value of a removal is the last
	// document.
	Age(it Item) Age
	// Lasts reports whether documents of a key hold until a newer one comes, also where the store has
	// lost them.
	Lasts(key string) bool
}

// noOrder is the order of a feed that knows nothing of what its documents say.
type noOrder struct{}

var _ Order = noOrder{}

// Age returns that it is not known.
func (noOrder) Age(Item) Age { return Age{} }

// Lasts returns false.
func (noOrder) Lasts(string) bool { return false }

// Enter begins another era. All that is held becomes former.
func (f *Feed) Enter(era Era) { f.enter(era, 0, func(string) bool { return false }) }

// enter begins another era, in which some documents are known to stand as they are held, up to a
// revision.
func (f *Feed) enter(era Era, at Revision, stands func(key string) bool) {
	f.era = era
	f.revision, f.newest, f.horizon, f.former = 0, 0, 0, true
	for key, it := range f.items {
		isCurrent := it.Revision > 0 && !it.Gone && stands(key)
		it.Revision = 0
		if isCurrent {
			it.Revision = at
		}
		f.items[key] = it
	}
	for key, it := range f.overruled {
		if !stands(key) {
			delete(f.overruled, key)
			continue
		}
		it.Revision = at
		f.overruled[key] = it
	}
}

// mergeFormer takes an item over where it or what is held is former. It returns true if that is news.
func (f *Feed) mergeFormer(held, it Item) bool {
	switch {
	case held.Revision > 0:
		return f.mergeFormerWord(held, it)
	case it.Revision > 0:
		return f.mergeStoresWord(held, it)
	case !f.outlasts(it, held):
		return false
	}
	f.put(it) // both are former, and this one is newer
	return true
}

// mergeFormerWord takes over a peer's former document where it outlasts the store's.
func (f *Feed) mergeFormerWord(current, former Item) bool {
	if !f.outlasts(former, current) {
		return false
	}
	f.overruled[current.Key] = current
	f.put(former)
	return true
}

// mergeStoresWord takes over the store's document, or its removal, unless a former one outlasts it.
func (f *Feed) mergeStoresWord(former, current Item) bool {
	known, isKnown := f.overruled[current.Key]
	wasRemoved := !isKnown && !current.Gone && current.Revision <= f.revision
	if wasRemoved || isKnown && known.Revision >= current.Revision {
		return false
	}
	if f.outlasts(former, current) {
		f.overruled[current.Key] = current
		return false
	}
	delete(f.overruled, current.Key)
	f.put(current)
	return differ(former, current)
}

// differ reports whether two documents of a key mean different things.
func differ(a, b Item) bool {
	return a.Gone != b.Gone || !a.Gone && !bytes.Equal(a.Value, b.Value)
}

// outlasts reports whether a former document is newer than one of the era, by what both say.
func (f *Feed) outlasts(former, current Item) bool {
	if !former.Gone && !differ(former, current) {
		return false // nearly all are as they were; their ages need not be read
	}
	a, b := f.order.Age(former), f.order.Age(current)
	switch {
	case current.Gone && current.Revision > 0 || !b.Known:
		return false
	case current.Gone:
		return a.Known && (a.Start > b.Start || a.Start == b.Start && a.Write > b.Write)
	case !a.Known:
		return former.Gone // that it is gone is known, and nothing says that this one is newer
	case a.Start != b.Start:
		return a.Start > b.Start
	case former.Gone:
		return b.Write <= a.Write
	case a.Write != b.Write && a.Write > 0 && b.Write > 0:
		return a.Write > b.Write
	}
	return a.Final && !b.Final
}

// Lasting returns the documents that last.
func (f *Feed) Lasting() []Item {
	var out []Item
	for _, it := range f.items {
		if !it.Gone && f.order.Lasts(it.Key) {
			out = append(out, it)
		}
	}
	return out
}

// ApplyFormer takes over documents of an earlier era, where they last and are newer by their own word.
// It returns what is news.
func (f *Feed) ApplyFormer(items []Item) []Item {
	var former []Item
	for _, it := range items {
		if !it.Gone && f.order.Lasts(it.Key) {
			it.Revision = 0
			former = append(former, it)
		}
	}
	return f.merge(former)
}

// DropMissing takes former documents as gone that the store does not have, but for those that last. It
// returns them.
func (f *Feed) DropMissing() []Item {
	if !f.former {
		return nil
	}
	f.former = false
	var gone []Item
	for key, it := range f.items {
		_, stands := f.overruled[key]
		if it.Revision == 0 && !it.Gone && !stands && !f.order.Lasts(key) {
			gone = append(gone, Item{Key: key, Revision: f.revision, Gone: true})
		}
	}
	return f.putAll(gone)
}

// Yield puts the store's documents in the place of the former ones that stand against them, but for
// those that last. It returns what is news.
func (f *Feed) Yield() []Item {
	var changed []Item
	for key, it := range f.overruled {
		held := f.items[key]
		if !held.Gone && held.Revision == 0 && f.order.Lasts(key) {
			continue
		}
		changed = append(changed, it)
	}
	return f.putAll(changed)
}

// putAll puts items in the order of their keys, and returns them.
func (f *Feed) putAll(items []Item) []Item {
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	for _, it := range items {
		delete(f.overruled, it.Key)
		f.put(it)
	}
	return items
}

// currentRevision returns the revision of the store's document of a key in this era, whether it is held or
// a former one stands against it; false if there is none.
func (f *Feed) currentRevision(held Item) (Revision, bool) {
	if over, ok := f.overruled[held.Key]; ok {
		return over.Revision, true
	}
	return held.Revision, !held.Gone && held.Revision > 0
}

// tellsFormer reports whether an item is former and tells others something: that it is held, or that
// the store's document is known to be gone.
func (f *Feed) tellsFormer(it Item) bool {
	if it.Revision > 0 {
		return false
	}
	_, stands := f.overruled[it.Key]
	return stands || !it.Gone
}

// withoutLast returns an item as it is told to others: the last document of a removal matters where
// the removal is former.
func withoutLast(it Item) Item {
	if it.Gone && it.Revision > 0 {
		it.Value = nil
	}
	return it
}
