// This file compares two feeds in parts, for a daemon whose position does not say what it lacks: it
// stands where the other has forgotten removals, or where a list of the other's began. Then only
// the parts that differ are sent, and what goes around follows what has changed, not the number
// of documents.
//
// The keys are spread over parts by hashing. A digest has a sum for each part. Parts with equal sums
// hold the same documents. Within an era the sums are of keys and revisions. Between eras revisions
// say nothing, and they are of keys and contents: when the store comes back from a copy nearly all
// documents are as they were.

package feed

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest sums up what a feed holds.
type Digest struct {
	Era      Era
	Revision Revision // up to which it holds everything
	Sums     []uint64 // of each part; their number is a power of two
}

// Parts are some of the parts of a digest.
type Parts []bool

const (
	// partDocuments is how many documents a part has, about: of a part that differs in one, the
	// others are sent in vain, and each part costs the bytes of a sum.
	partDocuments = 16
	// LeastParts and MostParts bound the number of parts.
	LeastParts = 8
	MostParts  = 1 << 14
)

// Digest returns the digest of the feed, by revisions for one in the same era, else by contents.
func (f *Feed) Digest(byRevision bool) Digest {
	n := LeastParts
	for n < MostParts && n*partDocuments < len(f.items) {
		n *= 2
	}
	return Digest{Era: f.era, Revision: f.revision, Sums: f.sums(n, byRevision)}
}

// sums returns the sums of n parts, by revisions or by contents.
func (f *Feed) sums(n int, byRevision bool) []uint64 {
	sums := make([]uint64, n)
	var buf []byte
	for _, it := range f.items {
		if _, stands := f.overruled[it.Key]; !it.Gone || stands {
			buf = appendSummed(buf[:0], it, byRevision)
			sums[partOf(it.Key, n)] ^= xxhash.Sum64(buf)
		}
	}
	for _, it := range f.overruled {
		buf = appendSummed(buf[:0], it, byRevision)
		sums[partOf(it.Key, n)] ^= xxhash.Sum64(append(buf, "overruled"...))
	}
	return sums
}

// appendSummed appends what of a document goes into a sum. A former document has no revision, and
// differs from one that stands in the era.
func appendSummed(buf []byte, it Item, byRevision bool) []byte {
	if byRevision && it.Revision > 0 {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(it.Revision))
		return append(buf, it.Key...)
	}
	buf = append(buf, it.Key...)
	buf = append(buf, it.Value...)
	if it.Revision == 0 {
		buf = append(buf, "former"...)
	}
	return buf
}

// partOf returns which of n parts a key is in.
func partOf(key string, n int) int { return int(xxhash.Sum64String(key) & uint64(n-1)) }

// Differing returns the parts in which the feed differs from the digest of another one.
func (f *Feed) Differing(d Digest) Parts {
	own := f.sums(len(d.Sums), d.Era == f.era)
	out := make(Parts, len(d.Sums))
	for i := range out {
		out[i] = own[i] != d.Sums[i]
	}
	return out
}

// SinceWith returns what changed after a revision, as [Feed.Since] does, and all that the feed
// holds in some parts; nil: in none.
func (f *Feed) SinceWith(after Revision, parts Parts) (items []Item, whole bool) {
	items, whole = f.Since(after)
	if whole || len(parts) == 0 {
		return items, whole
	}
	for _, it := range f.items {
		if !it.Gone && it.Revision > 0 && it.Revision <= after && parts[partOf(it.Key, len(parts))] {
			items = append(items, it)
		}
	}
	return items, false
}

// ApplyParts takes over what another feed answered that stands at a revision: all that it holds
// in the parts in which this feed differed from its digest, and what changed since the digest. It
// returns what is news. Where another part has changed here meanwhile, the revision stays, so that
// the other one is asked again; the feed enters the other one's era only with all of it.
func (f *Feed) ApplyParts(items []Item, at Revision, d Digest, parts Parts) []Item {
	isWhole := true
	for i, differs := range f.Differing(d) {
		isWhole = isWhole && (parts[i] || !differs)
	}
	if d.Era != f.era {
		if !isWhole {
			return nil
		}
		f.enter(d.Era, d.Revision, func(key string) bool { return !parts[partOf(key, len(parts))] })
	}
	changed := f.merge(items)
	changed = append(changed, f.removeUnlisted(items, at, func(key string) bool { return parts[partOf(key, len(parts))] })...)
	if isWhole {
		f.skipTo(at)
	}
	return changed
}

// ApplyPage takes over a page of a list that began when the store stood at a revision: the
// documents whose keys come after one and up to another, which is empty on the last page. It
// returns what is news. The feed's revision stays until the whole list is there.
func (f *Feed) ApplyPage(items []Item, after, upTo string, at Revision) []Item {
	changed := f.merge(items)
	return append(changed, f.removeUnlisted(items, at, func(key string) bool { return key > after && (upTo == "" || key <= upTo) })...)
}

// Any reports whether there are any.
func (p Parts) Any() bool { return slices.Contains(p, true) }
