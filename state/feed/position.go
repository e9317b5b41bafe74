// This file defines positions in the sequence of all changes of the store.

package feed

type (
	// Era counts how often the store was restored from a backup. A restore loses all writes since
	// the copy was made, and revisions continue from that of the copy, so the same revisions are
	// assigned again. 0: the store does not report an era.
	Era uint64
	// Revision orders the changes of the store within an era. 0 is before all changes.
	Revision uint64
)

// MaxEra is the highest era. A store that is restored every second would take tens of thousands of years
// to reach it.
const MaxEra Era = 1 << 40

// Position is a point in the sequence of the store's changes, ordered by era and then by revision.
type Position struct {
	Era      Era
	Revision Revision
}

// Beginning returns the position before all changes of p's era.
func (p Position) Beginning() Position { return Position{Era: p.Era} }

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}
