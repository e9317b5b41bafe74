// Package feed replicates the documents that daemons read from the store and fetch
// from each other. Documents are held in memory. A document is a key with a value and
// the store's revision; values are opaque to this package.
//
// For every key the newest revision wins, so that a daemon never goes back to an
// older document, regardless of which source it comes from. Revisions increase with each
// change until the store is restored from a backup. Then a new era begins, whose
// revisions can't be compared with those of earlier eras. A feed is in one era. The
// documents that it held when it entered the era are pre-restore documents (era.go): each
// stays until the store's version of it in the new era is known.
//
// # Usage
//
//	f := feed.New(versions)
//	f.EnterEra(era)                       // before the first list of another era
//	changed := f.Apply(items)             // from a watch
//	changed = f.ApplyList(items, at)      // a complete list: missing documents are removed
//	items, complete := f.Since(revision)  // for a peer
//	d := f.Digest(byRevision)             // for a peer whose revision does not tell what it lacks
package feed

import (
	"slices"
	"strings"
)

// Item is a document or the removal of one. The value of a removal is the last content of the document,
// if known.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // 0: a pre-restore document, from an era before the feed's
	Deleted  bool
}

// Page is a part of a list, in the order of the keys. The pages of a list are not read
// from one snapshot: documents that are missing are removed only if they are not newer than
// the At of the first page.
type Page struct {
	Items []Item
	At    Position // of the source when it returned the page
	Next  string   // the key after which the next page begins; empty: this is the last page
}

// Changes are the changes that a watch of the store returned, and the position from which to continue.
type Changes struct {
	Items []Item
	At    Position
}

// maxTombstones is the maximum number of removals that are remembered. It exceeds the number of replicas
// of a large fleet.
const maxTombstones = 4096

// Feed is a set of documents. It is not safe for concurrent use.
type Feed struct {
	versions      Versioner
	era           Era
	items         map[string]Item // by key; includes removals that are remembered
	overruled     map[string]Item // by key, documents of the store that the held pre-restore document stays in place of
	hasPreRestore bool            // there may be pre-restore documents that the store lacks
	revision      Revision
	newest        Revision // the highest revision of a held item
	// horizon is the revision up to which removals may be unknown, because they were dropped from
	// tombstones or happened before a list that was applied. A peer at an earlier revision can't be sent
	// only the changes: it would keep documents that were removed, or, if it holds none of them, would
	// not learn of removals that it must pass on to others.
	horizon    Revision
	tombstones []string // keys of removals, oldest first
}

// New returns an empty feed. With a nil Versioner no document has a version and none is retained.
func New(v Versioner) *Feed {
	if v == nil {
		v = noVersions{}
	}
	return &Feed{versions: v, items: make(map[string]Item), overruled: make(map[string]Item)}
}

// Revision returns the revision up to which the feed is complete.
func (f *Feed) Revision() Revision { return f.revision }

// Position returns the era and the revision up to which the feed is complete.
func (f *Feed) Position() Position { return Position{Era: f.era, Revision: f.revision} }

// Apply merges changes from a watch: all changes after the feed's revision, up to the last of the items. It
// returns those that were new to the feed.
func (f *Feed) Apply(items []Item) []Item {
	changed := f.merge(items)
	for _, it := range items {
		f.Advance(it.Revision)
	}
	return changed
}

// ApplyChanges merges changes from a peer that is at a revision: all changes after the feed's revision. It
// returns those that were new to the feed.
func (f *Feed) ApplyChanges(items []Item, at Revision) []Item {
	changed := f.merge(items)
	f.Advance(at)
	return changed
}

// SyncAfter returns the revision after which to request changes from a peer. A feed that holds documents
// newer than its revision, from the later pages of a list, must request everything: a peer that never held
// those documents would not report their removal.
func (f *Feed) SyncAfter() Revision {
	if f.newest > f.revision {
		return 0
	}
	return f.revision
}

// merge stores the items that are newer than the held ones, and returns the items whose documents changed.
func (f *Feed) merge(items []Item) []Item {
	var changed []Item
	for _, it := range items {
		if f.mergeItem(it) {
			changed = append(changed, f.items[it.Key])
		}
	}
	return changed
}

// mergeItem stores an item if it is newer than the held one. It returns true if the document changed.
func (f *Feed) mergeItem(it Item) bool {
	held, ok := f.items[it.Key]
	if ok && (held.Revision == 0 || it.Revision == 0) {
		return f.mergeAcrossEras(held, it)
	}
	if ok && held.Revision >= it.Revision {
		return false
	}
	if ok && f.outlasts(held, it) {
		f.overrule(held, it)
		return false
	}
	f.put(it)
	return true
}

// put stores an item. The tombstone of a deleted document keeps the document's last content. If there are
// too many tombstones, the oldest is dropped.
func (f *Feed) put(it Item) {
	if it.Deleted && len(it.Value) == 0 {
		it.Value = f.items[it.Key].Value
	}
	f.items[it.Key] = it
	f.newest = max(f.newest, it.Revision)
	f.hasPreRestore = f.hasPreRestore || it.Revision == 0
	if !it.Deleted {
		return
	}
	f.tombstones = append(f.tombstones, it.Key)
	if len(f.tombstones) <= maxTombstones {
		return
	}
	oldest := f.tombstones[0]
	f.tombstones = f.tombstones[1:]
	if held, ok := f.items[oldest]; ok && held.Deleted {
		f.horizon = max(f.horizon, held.Revision)
		delete(f.items, oldest)
	}
}

// ApplyList merges a complete list, read when the store was at the given revision or
// later. Held documents that are missing in the list and not newer are removed. It returns the changes.
func (f *Feed) ApplyList(items []Item, at Revision) []Item {
	changed := f.merge(items)
	gone := f.removeUnlisted(items, at, func(string) bool { return true })
	f.skipTo(at)
	return append(changed, gone...)
}

// removeUnlisted removes the held documents in a range of keys that are missing in a list of the range and
// not newer than the list. It returns the removals.
func (f *Feed) removeUnlisted(items []Item, at Revision, inRange func(key string) bool) []Item {
	listed := make(map[string]struct{}, len(items))
	for _, it := range items {
		if !it.Deleted && it.Revision > 0 { // a removal may be older than the held item; a pre-restore document is not in the store
			listed[it.Key] = struct{}{}
		}
	}
	var gone []Item
	for key, held := range f.items {
		_, ok := listed[key]
		revision, isCurrent := f.currentRevision(held)
		if !ok && isCurrent && revision <= at && inRange(key) {
			gone = append(gone, Item{Key: key, Revision: max(at, revision+1), Deleted: true})
		}
	}
	return f.putSorted(gone)
}

// skipTo records that the feed is complete up to a revision, except for documents that were both written
// and removed since the previous revision.
func (f *Feed) skipTo(at Revision) {
	if at > f.revision {
		f.horizon = max(f.horizon, at)
	}
	f.Advance(at)
}

// Advance records that the feed is complete up to a revision, because a list, a watch or a
// peer's response was.
func (f *Feed) Advance(to Revision) { f.revision = max(f.revision, to) }

// Since returns the items that changed after a revision of the current era, or all items if complete is true.
// Pre-restore documents and the documents that they overrule are always included, because no revision tells
// which peers lack them.
func (f *Feed) Since(after Revision) (items []Item, complete bool) {
	complete = after < f.horizon || after == 0
	for _, it := range f.items {
		if it.Revision > after || complete && it.Revision > 0 || f.mustSendPreRestore(it) {
			items = append(items, itemForPeer(it))
		}
	}
	for _, it := range f.overruled {
		items = append(items, it)
	}
	slices.SortFunc(items, func(a, b Item) int {
		if a.Revision != b.Revision {
			return int(int64(a.Revision) - int64(b.Revision))
		}
		return strings.Compare(a.Key, b.Key)
	})
	return items, complete
}

// Overruled returns the store's document of a key if it is not the held one, and false otherwise.
func (f *Feed) Overruled(key string) (Item, bool) {
	it, ok := f.overruled[key]
	return it, ok
}

// Get returns the document of a key. It returns false if there is none or it was removed.
func (f *Feed) Get(key string) (Item, bool) {
	it, ok := f.items[key]
	return it, ok && !it.Deleted
}
