// This file reconciles two feeds by comparing hash partitions of their keys, called parts. It is used if
// the position of a daemon does not tell what it lacks, because its revision is before the other feed's
// horizon or in another era. Only the parts that differ are sent, so the amount of data depends on the number
// of changes and not on the number of documents.
//
// Keys are assigned to parts by hash. A digest has a checksum for each part; parts with equal checksums hold
// the same documents. Between feeds of the same era the checksums cover keys and revisions. Between eras,
// revisions are not comparable and the checksums cover keys and contents: after a restore from a backup
// nearly all documents are unchanged.

package feed

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest summarizes the documents of a feed.
type Digest struct {
	Era      Era
	Revision Revision // up to which the feed is complete
	Sums     []uint64 // one checksum for each part; the number of parts is a power of two
}

// Parts selects some of the parts of a digest.
type Parts []bool

const (
	// documentsPerPart is the approximate number of documents in a part. With larger parts, more unchanged
	// documents are sent along with a changed one; with smaller parts, a digest has more checksums.
	documentsPerPart = 16
	// MinParts and MaxParts bound the number of parts.
	MinParts = 8
	MaxParts = 1 << 14
)

// Digest returns the digest of the feed: by revision for a feed in the same era, otherwise by content.
func (f *Feed) Digest(byRevision bool) Digest {
	n := MinParts
	for n < MaxParts && n*documentsPerPart < len(f.items) {
		n *= 2
	}
	return Digest{Era: f.era, Revision: f.revision, Sums: f.checksums(n, byRevision)}
}

// checksums returns the checksums of n parts, by revision or by content.
func (f *Feed) checksums(n int, byRevision bool) []uint64 {
	sums := make([]uint64, n)
	var buf []byte
	for _, it := range f.items {
		if _, overrules := f.overruled[it.Key]; !it.Deleted || overrules {
			buf = appendChecksummed(buf[:0], it, byRevision)
			sums[partOf(it.Key, n)] ^= xxhash.Sum64(buf)
		}
	}
	for _, it := range f.overruled {
		buf = appendChecksummed(buf[:0], it, byRevision)
		sums[partOf(it.Key, n)] ^= xxhash.Sum64(append(buf, "overruled"...))
	}
	return sums
}

// appendChecksummed appends the data of an item that its checksum covers. A pre-restore document has no
// revision; it is marked, so that it differs from the same document in the current era.
func appendChecksummed(buf []byte, it Item, byRevision bool) []byte {
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

// partOf returns the index of the part of a key, out of n parts.
func partOf(key string, n int) int { return int(xxhash.Sum64String(key) & uint64(n-1)) }

// Differing returns the parts in which the feed differs from the digest of another feed.
func (f *Feed) Differing(d Digest) Parts {
	own := f.checksums(len(d.Sums), d.Era == f.era)
	out := make(Parts, len(d.Sums))
	for i := range out {
		out[i] = own[i] != d.Sums[i]
	}
	return out
}

// SinceWith returns the items that changed after a revision, like [Feed.Since], and in addition all documents
// in the given parts; parts may be nil.
func (f *Feed) SinceWith(after Revision, parts Parts) (items []Item, complete bool) {
	items, complete = f.Since(after)
	if complete || len(parts) == 0 {
		return items, complete
	}
	for _, it := range f.items {
		if !it.Deleted && it.Revision > 0 && it.Revision <= after && parts[partOf(it.Key, len(parts))] {
			items = append(items, it)
		}
	}
	return items, false
}

// ApplyParts merges the response of another feed that is at a revision: all documents in the parts in which
// this feed differed from the digest d of the other, and all changes since the digest. It returns the
// changes. If another part of this feed has changed in the meantime, the feed's revision stays, so that the
// other feed is asked again, and a feed of an earlier era does not enter the era of the digest.
func (f *Feed) ApplyParts(items []Item, at Revision, d Digest, parts Parts) []Item {
	isComplete := true
	for i, differs := range f.Differing(d) {
		isComplete = isComplete && (parts[i] || !differs)
	}
	if d.Era != f.era {
		if !isComplete {
			return nil
		}
		f.enterEra(d.Era, d.Revision, func(key string) bool { return !parts[partOf(key, len(parts))] })
	}
	changed := f.merge(items)
	changed = append(changed, f.removeUnlisted(items, at, func(key string) bool { return parts[partOf(key, len(parts))] })...)
	if isComplete {
		f.skipTo(at)
	}
	return changed
}

// ApplyPage merges a page of a list that began when the store was at a revision. The page covers the keys
// greater than after and up to upTo, which is empty for the last page. ApplyPage returns the changes. The
// feed's revision stays until the complete list is applied.
func (f *Feed) ApplyPage(items []Item, after, upTo string, at Revision) []Item {
	changed := f.merge(items)
	return append(changed, f.removeUnlisted(items, at, func(key string) bool { return key > after && (upTo == "" || key <= upTo) })...)
}

// Any reports whether any part is selected.
func (p Parts) Any() bool { return slices.Contains(p, true) }
