// This file carries documents over into a new era of the store.
//
// When a feed enters an era, all documents that it holds become pre-restore documents: their revision is set
// to 0, before all revisions of the new era. Documents that are read in the new era replace them, with two
// exceptions, because the backup copy that the store was restored from lacks the most recent writes:
//
//  1. A pre-restore document stays if its content has a newer version (Versioner): the copy is out of date.
//     The store's document is kept beside it as overruled, and replaces it if no newer one arrives within a
//     time limit (AcceptOverruled). A retained document is never replaced by an older one, nor by one without a
//     version, which may not be usable.
//  2. A pre-restore document that the store lacks stays for a limited time, because its writer writes it again
//     if it is still alive (DropMissing).
//
// A retained document that has a version also counts as a pre-restore document once the store's document has none, within an era
// too: what has no version may not be usable, and daemons that start later would have no usable one.
//
// The owner of the feed chooses the time limits. Pre-restore documents are sent to peers along with all others,
// so that a daemon that has only read the restored copy learns what the copy lacks.

package feed

import (
	"bytes"
	"slices"
	"strings"
)

// Version is the version of a document according to its own content. Documents of the same key are ordered by
// Incarnation, then by Sequence.
type Version struct {
	Known       bool   // false: the content does not say
	Incarnation uint64 // of the writer; higher is later
	Sequence    uint64 // number of the write within the incarnation; 0: unknown
	// Final says that the writer writes no further version in this incarnation.
	Final bool
}

// Versioner reads the versions of documents, which order them across eras, where revisions can't.
type Versioner interface {
	// Version returns the version of a document according to its content. The value of a removal is the last
	// content before it.
	Version(it Item) Version
	// IsRetained reports whether documents of a key are retained: they stay until a newer one arrives, even if
	// the store has lost them.
	IsRetained(key string) bool
}

// noVersions is the Versioner of a feed that was given none: the version of every document is unknown.
type noVersions struct{}

var _ Versioner = noVersions{}

// Version returns an unknown version.
func (noVersions) Version(Item) Version { return Version{} }

// IsRetained returns false.
func (noVersions) IsRetained(string) bool { return false }

// EnterEra begins a new era. All documents that are held become pre-restore documents.
func (f *Feed) EnterEra(era Era) { f.enterEra(era, 0, func(string) bool { return false }) }

// enterEra begins a new era. Documents for which isCurrent returns true are known to be the same in the new era
// up to a revision, and do not become pre-restore documents.
func (f *Feed) enterEra(era Era, at Revision, isCurrent func(key string) bool) {
	f.era = era
	f.revision, f.newest, f.horizon, f.hasPreRestore = 0, 0, 0, true
	for key, it := range f.items {
		keep := it.Revision > 0 && !it.Deleted && isCurrent(key)
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

// outlasts reports whether a held document stays although the store has a newer one: it is retained, and has a version, which
// the newer one lacks.
func (f *Feed) outlasts(held, newer Item) bool {
	return !held.Deleted && !newer.Deleted && f.versions.IsRetained(held.Key) &&
		!f.versions.Version(newer).Known && f.versions.Version(held).Known
}

// overrule makes the held document a pre-restore document in place of which the store has another one.
func (f *Feed) overrule(held, current Item) {
	f.overruled[current.Key] = current
	f.newest = max(f.newest, current.Revision)
	held.Revision = 0
	f.put(held)
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
	f.overrule(old, current)
	return true
}

// mergeCurrent merges a document or removal of the current era unless the held pre-restore document is newer.
func (f *Feed) mergeCurrent(old, current Item) bool {
	overruled, ok := f.overruled[current.Key]
	wasRemoved := !ok && !current.Deleted && current.Revision <= f.revision
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
	return a.Deleted != b.Deleted || !a.Deleted && !bytes.Equal(a.Value, b.Value)
}

// preRestoreIsNewer reports whether a pre-restore document has a newer version than one of the current era.
func (f *Feed) preRestoreIsNewer(old, current Item) bool {
	if !old.Deleted && !contentDiffers(old, current) {
		return false // fast path: nearly all documents are unchanged, and parsing their versions is expensive
	}
	a, b := f.versions.Version(old), f.versions.Version(current)
	switch {
	case current.Deleted && current.Revision > 0:
		return false
	case !b.Known:
		return a.Known && !old.Deleted && !current.Deleted && f.versions.IsRetained(old.Key)
	case current.Deleted:
		return a.Known && (a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Sequence > b.Sequence)
	case !a.Known:
		return old.Deleted // the removal is known, and nothing shows that the current document is newer
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case old.Deleted:
		return b.Sequence <= a.Sequence
	case a.Sequence != b.Sequence && a.Sequence > 0 && b.Sequence > 0:
		return a.Sequence > b.Sequence
	}
	return a.Final && !b.Final
}

// Retained returns the retained documents.
func (f *Feed) Retained() []Item {
	var out []Item
	for _, it := range f.items {
		if !it.Deleted && f.versions.IsRetained(it.Key) {
			out = append(out, it)
		}
	}
	return out
}

// ApplyRetained merges documents of an earlier era that are retained and have newer versions. It returns the
// changes.
func (f *Feed) ApplyRetained(items []Item) []Item {
	var retained []Item
	for _, it := range items {
		if !it.Deleted && f.versions.IsRetained(it.Key) {
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
		if it.Revision == 0 && !it.Deleted && !inStore && !f.versions.IsRetained(key) {
			gone = append(gone, Item{Key: key, Revision: f.revision, Deleted: true})
		}
	}
	return f.putSorted(gone)
}

// AcceptOverruled replaces pre-restore documents by the store's documents that they overrule, except retained
// ones. It returns the changes.
func (f *Feed) AcceptOverruled() []Item {
	var changed []Item
	for key, it := range f.overruled {
		held := f.items[key]
		if !held.Deleted && held.Revision == 0 && f.versions.IsRetained(key) {
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
	return held.Revision, !held.Deleted && held.Revision > 0
}

// mustSendPreRestore reports whether an item is from before the restore and must be sent to peers: it is a
// document, or a removal that overrules the store's document.
func (f *Feed) mustSendPreRestore(it Item) bool {
	if it.Revision > 0 {
		return false
	}
	_, overrules := f.overruled[it.Key]
	return overrules || !it.Deleted
}

// itemForPeer returns an item in the form that is sent to peers. A removal of the current era is sent
// without its last content, which matters only for pre-restore removals.
func itemForPeer(it Item) Item {
	if it.Deleted && it.Revision > 0 {
		it.Value = nil
	}
	return it
}
