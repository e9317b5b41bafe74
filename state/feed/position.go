// This file says where a change stands among all changes of the store.

package feed

type (
	// Era counts how often the store came back from a copy of itself. What was written after the
	// copy was made is gone, and the revisions begin anew after that of the copy. 0: the store does
	// not say.
	Era uint64
	// Revision orders the changes of the store within an era. 0 is before all of them.
	Revision uint64
)

// MostEra is the highest era. A store that comes back each second takes longer than anyone waits.
const MostEra Era = 1 << 40

// Position orders the changes of the store: by era, then by revision.
type Position struct {
	Era      Era
	Revision Revision
}

// Beginning returns the beginning of the position's era.
func (p Position) Beginning() Position { return Position{Era: p.Era} }

// Before reports whether p comes before another position.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}
