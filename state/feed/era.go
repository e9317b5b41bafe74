// This file carries documents over into a new era of the store.
//
// When a feed enters an era, all documents that it holds become pre-restore documents: their revision is set
// to 0, before all revisions of the new era. Documents that are read in the new era replace them, with two
// exceptions, because the backup copy that the store was restored from lacks the most recent writes:
//
//  1. A pre-restore document stays if it is newer according to the ages that documents report of themselves
//     (Order): the copy has an older version. The store's document is kept beside it as overruled, and
//     replaces it if no newer one arrives within a time limit (Yield). A retained document is never
//     replaced by an older one.
//  2. A pre-restore document that the store lacks stays for a limited time, because its writer writes it again
//     if it is still alive (DropMissing).
//
// The owner of the feed chooses the time limits. Pre-restore documents are sent to peers along with all others,
// so that a daemon that has only read the restored copy learns what the copy lacks.

package feed

import (
	"bytes"
	"slices"
	"strings"
)

// Age is the age of a document as reported by its own content. Documents of the same key are ordered by
// Start, then by Write.
type Age struct {
	Known bool   // false: the content does not tell
	Start uint64 // number of the writer's incarnation; higher is later
	Write uint64 // number of the write within the incarnation; 0: unknown
	// Final says that the writer writes no further version in this incarnation.
	Final bool
}

// Order reads from documents how they are ordered when revisions can't tell.
type Order interface {
	// Age returns the age that the content of a document reports. The value of a removal is the last
	// content before it.
	Age(it Item) Age
	// Lasts reports whether documents of a key are retained: they stay until a newer one arrives, even if
	// the store has lost them.
	Lasts(key string) bool
}

// noOrder is the Order of a feed that can't read its documents.
type noOrder struct{}

var _ Order = noOrder{}

// Age returns an unknown age.
func (noOrder) Age(Item) Age { return Age{} }

// Lasts returns false.
func (noOrder) Lasts(string) bool { return false }

// Enter begins a new era. All documents that are held become pre-restore documents.
func (f *Feed) Enter(era Era) { f.enter(era, 0, func(string) bool { return false }) }

// enter begins a new era. Documents for which isCurrent returns true are known to be the same in the new era
// up to a revision, and do not become pre-restore documents.
func (f *Feed) enter(era Era, at Revision, isCurrent func(key string) bool) {
	f.era = era
	f.revision, f.newest, f.horizon, f.hasPreRestore = 0, 0, 0, true
	for key, it := range f.items {
		keep := it.Revision > 0 && !it.Gone && isCurrent(key)
		it.Revision = 0
		if keep {
			it.Revision = at
		}
		f.items[key] = it
	}
	for key, it := range f.overruled {
		if !isCurrent(key) {
			delete(f.overruled, key)
			continue
		}
		it.Revision = at
		f.overruled[key] = it
	}
}

// mergeAcrossEras merges an item if it or the held item of its key is from before the restore. It returns true
// if the held document has changed.
func (f *Feed) mergeAcrossEras(held, it Item) bool {
	switch {
	case held.Revision > 0:
		return f.mergePreRestore(held, it)
	case it.Revision > 0:
		return f.mergeCurrent(held, it)
	case !f.preRestoreIsNewer(it, held):
		return false
	}
	f.put(it) // both are from before the restore, and this one is newer
	return true
}

// mergePreRestore merges a pre-restore document from a peer if it is newer than the store's document.
func (f *Feed) mergePreRestore(current, old Item) bool {
	if !f.preRestoreIsNewer(old, current) {
		return false
	}
	f.overruled[current.Key] = current
	f.put(old)
	return true
}

// mergeCurrent merges a document or removal of the current era unless the held pre-restore document is newer.
func (f *Feed) mergeCurrent(old, current Item) bool {
	overruled, ok := f.overruled[current.Key]
	wasRemoved := !ok && !current.Gone && current.Revision <= f.revision
	if wasRemoved || ok && overruled.Revision >= current.Revision {
		return false
	}
	if f.preRestoreIsNewer(old, current) {
		f.overruled[current.Key] = current
		return false
	}
	delete(f.overruled, current.Key)
	f.put(current)
	return contentDiffers(old, current)
}

// contentDiffers reports whether two items of a key have different content, or one of them is a removal.
// Revisions are ignored.
func contentDiffers(a, b Item) bool {
	return a.Gone != b.Gone || !a.Gone && !bytes.Equal(a.Value, b.Value)
}

// preRestoreIsNewer reports whether a pre-restore document is newer than one of the current era, according to
// the ages that both report.
func (f *Feed) preRestoreIsNewer(old, current Item) bool {
	if !old.Gone && !contentDiffers(old, current) {
		return false // fast path: nearly all documents are unchanged, and parsing their ages is expensive
	}
	a, b := f.order.Age(old), f.order.Age(current)
	switch {
	case current.Gone && current.Revision > 0 || !b.Known:
		return false
	case current.Gone:
		return a.Known && (a.Start > b.Start || a.Start == b.Start && a.Write > b.Write)
	case !a.Known:
		return old.Gone // the removal is known, and nothing shows that the current document is newer
	case a.Start != b.Start:
		return a.Start > b.Start
	case old.Gone:
		return b.Write <= a.Write
	case a.Write != b.Write && a.Write > 0 && b.Write > 0:
		return a.Write > b.Write
	}
	return a.Final && !b.Final
}

// Lasting returns the retained documents.
func (f *Feed) Lasting() []Item {
	var out []Item
	for _, it := range f.items {
		if !it.Gone && f.order.Lasts(it.Key) {
			out = append(out, it)
		}
	}
	return out
}

// ApplyFormer merges documents of an earlier era that are retained and newer by the ages that they report.
// It returns the changes.
func (f *Feed) ApplyFormer(items []Item) []Item {
	var retained []Item
	for _, it := range items {
		if !it.Gone && f.order.Lasts(it.Key) {
			it.Revision = 0
			retained = append(retained, it)
		}
	}
	return f.merge(retained)
}

// DropMissing removes pre-restore documents that the store lacks, except retained ones. It returns the
// removals.
func (f *Feed) DropMissing() []Item {
	if !f.hasPreRestore {
		return nil
	}
	f.hasPreRestore = false
	var gone []Item
	for key, it := range f.items {
		_, inStore := f.overruled[key]
		if it.Revision == 0 && !it.Gone && !inStore && !f.order.Lasts(key) {
			gone = append(gone, Item{Key: key, Revision: f.revision, Gone: true})
		}
	}
	return f.putSorted(gone)
}

// Yield replaces pre-restore documents by the store's documents that they overrule, except retained ones. It
// returns the changes.
func (f *Feed) Yield() []Item {
	var changed []Item
	for key, it := range f.overruled {
		held := f.items[key]
		if !held.Gone && held.Revision == 0 && f.order.Lasts(key) {
			continue
		}
		changed = append(changed, it)
	}
	return f.putSorted(changed)
}

// putSorted stores items in the order of their keys and drops the documents that they overrule. It returns
// the sorted items.
func (f *Feed) putSorted(items []Item) []Item {
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	for _, it := range items {
		delete(f.overruled, it.Key)
		f.put(it)
	}
	return items
}

// currentRevision returns the revision of the store's document of a key in the current era, which may be
// the held document or overruled by it. It returns false if there is none.
func (f *Feed) currentRevision(held Item) (Revision, bool) {
	if overruled, ok := f.overruled[held.Key]; ok {
		return overruled.Revision, true
	}
	return held.Revision, !held.Gone && held.Revision > 0
}

// mustSendPreRestore reports whether an item is from before the restore and must be sent to peers: it is a
// document, or a removal that overrules the store's document.
func (f *Feed) mustSendPreRestore(it Item) bool {
	if it.Revision > 0 {
		return false
	}
	_, overrules := f.overruled[it.Key]
	return overrules || !it.Gone
}

// itemForPeer returns an item in the form that is sent to peers. A removal of the current era is sent
// without its last content, which matters only for pre-restore removals.
func itemForPeer(it Item) Item {
	if it.Gone && it.Revision > 0 {
		it.Value = nil
	}
	return it
}
