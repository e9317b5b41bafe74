// Package feed holds the documents that daemons read from the operators' store and
// fetch from each other, for the life of the process. A document is a key with
// bytes and the store's revision; what the bytes mean is not known here.
//
// For every key the newest revision wins, so that a daemon never goes back to an
// older document, whoever sends it. Revisions rise with each change, until the store
// comes back from a copy of itself: then another era begins, whose revisions say nothing
// about those of before. A feed is in one era. What it held when it entered it are former
// documents (era.go): each stays until the store's word on it in the new era is known.
//
// # Usage
//
//	f := feed.New(order)
//	f.Enter(era)                       // before the first list of another era
//	changed := f.Apply(items)          // from a watch or a peer
//	changed = f.ApplyList(items, at)   // a whole list: what is missing is gone
//	items, whole := f.Since(revision)  // for a peer
//	d := f.Digest()                    // for one whose revision does not say what it lacks
package feed

import (
	"slices"
	"strings"
)

// Item is a document, or the removal of one. The value of a removal is the last document, if that is
// known.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // 0: it is a former document, of an era before the feed's
	Gone     bool
}

// Page is a part of a list in the order of the keys. The pages of a list are no
// snapshot: what is missing and not newer than the first page's At is gone.
type Page struct {
	Items []Item
	At    Position // of the source when it gave the page
	Next  string   // the key after which the next page begins; empty: this is the last
}

// Changes are what a watch of the store returned, and the position to go on from.
type Changes struct {
	Items []Item
	At    Position
}

// keptTombstones bounds how many removals are remembered: more than a large fleet has replicas.
const keptTombstones = 4096

// Feed is the set of documents. Its owner guards it.
type Feed struct {
	order     Order
	era       Era
	items     map[string]Item
	overruled map[string]Item // by key, the store's documents that former ones outlast
	former    bool            // there may be former documents that the store does not have
	revision  Revision
	newest    Revision // of the documents
	// horizon is the revision up to which removals may not be known here: they were forgotten, or
	// a list jumped over them. Who stands before it can't be told what changed: it would hold what
	// was removed, or, where it holds nothing of that, not know what others may hold.
	horizon    Revision
	tombstones []string
}

// New returns an empty feed. A nil order knows nothing of what documents say of themselves.
func New(o Order) *Feed {
	if o == nil {
		o = noOrder{}
	}
	return &Feed{order: o, items: make(map[string]Item), overruled: make(map[string]Item)}
}

// Revision returns the revision up to which everything is held.
func (f *Feed) Revision() Revision { return f.revision }

// Position returns the same with the era.
func (f *Feed) Position() Position { return Position{Era: f.era, Revision: f.revision} }

// Apply takes over what changed after the feed's revision, as a watch gives it: all from there on
// up to the last of the items. It returns what is news.
func (f *Feed) Apply(items []Item) []Item {
	changed := f.merge(items)
	for _, it := range items {
		f.Advance(it.Revision)
	}
	return changed
}

// ApplyChanges takes over all that changed after the feed's revision, as a peer answered that
// stands at a revision. It returns what is news.
func (f *Feed) ApplyChanges(items []Item, at Revision) []Item {
	changed := f.merge(items)
	f.Advance(at)
	return changed
}

// AskAfter returns the revision after which a peer is to be asked for changes. A feed that holds
// documents newer than its revision, from the later pages of a list, asks for everything: a peer
// that never held them would not say that they were removed.
func (f *Feed) AskAfter() Revision {
	if f.newest > f.revision {
		return 0
	}
	return f.revision
}

// merge takes items over if they are newer than what is held, and returns those that were.
func (f *Feed) merge(items []Item) []Item {
	var changed []Item
	for _, it := range items {
		if f.mergeItem(it) {
			changed = append(changed, f.items[it.Key])
		}
	}
	return changed
}

// mergeItem takes an item over if it is newer than what is held. It returns true if it is news.
func (f *Feed) mergeItem(it Item) bool {
	held, ok := f.items[it.Key]
	if ok && (held.Revision == 0 || it.Revision == 0) {
		return f.mergeFormer(held, it)
	}
	if ok && held.Revision >= it.Revision {
		return false
	}
	f.put(it)
	return true
}

func (f *Feed) put(it Item) {
	if it.Gone && len(it.Value) == 0 {
		it.Value = f.items[it.Key].Value
	}
	f.items[it.Key] = it
	f.newest = max(f.newest, it.Revision)
	f.former = f.former || it.Revision == 0
	if !it.Gone {
		return
	}
	f.tombstones = append(f.tombstones, it.Key)
	if len(f.tombstones) <= keptTombstones {
		return
	}
	oldest := f.tombstones[0]
	f.tombstones = f.tombstones[1:]
	if held, ok := f.items[oldest]; ok && held.Gone {
		f.horizon = max(f.horizon, held.Revision)
		delete(f.items, oldest)
	}
}

// ApplyList takes a whole list, read when the store stood at the given revision or
// later. Held documents that are missing there and are not newer are gone.
func (f *Feed) ApplyList(items []Item, at Revision) []Item {
	changed := f.merge(items)
	gone := f.removeUnlisted(items, at, func(string) bool { return true })
	f.skipTo(at)
	return append(changed, gone...)
}

// removeUnlisted takes as gone what is held of a range of keys, is missing among the documents
// that were listed there and is not newer than the list. It returns what that is.
func (f *Feed) removeUnlisted(items []Item, at Revision, inRange func(key string) bool) []Item {
	listed := make(map[string]struct{}, len(items))
	for _, it := range items {
		if !it.Gone && it.Revision > 0 { // a removal may be older than what is held, a former document is not the store's
			listed[it.Key] = struct{}{}
		}
	}
	var gone []Item
	for key, held := range f.items {
		_, ok := listed[key]
		revision, isCurrent := f.currentRevision(held)
		if !ok && isCurrent && revision <= at && inRange(key) {
			gone = append(gone, Item{Key: key, Revision: max(at, revision+1), Gone: true})
		}
	}
	return f.putAll(gone)
}

// skipTo records that everything up to a revision is held, but not what was written and removed on
// the way there.
func (f *Feed) skipTo(at Revision) {
	if at > f.revision {
		f.horizon = max(f.horizon, at)
	}
	f.Advance(at)
}

// Advance records that everything up to a revision is held, because a list, a watch or a
// peer's answer was complete up to there.
func (f *Feed) Advance(to Revision) { f.revision = max(f.revision, to) }

// Since returns what changed after a revision of the era, or everything if whole is true. Former
// documents, and what they stand against, are always with it: no revision tells who lacks them.
func (f *Feed) Since(after Revision) (items []Item, whole bool) {
	whole = after < f.horizon || after == 0
	for _, it := range f.items {
		if it.Revision > after || whole && it.Revision > 0 || f.tellsFormer(it) {
			items = append(items, withoutLast(it))
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
	return items, whole
}

// Get returns a document that is held.
func (f *Feed) Get(key string) (Item, bool) {
	it, ok := f.items[key]
	return it, ok && !it.Gone
}
