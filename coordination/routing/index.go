// An index from load keys to positions in a pool. The view of ten thousand replicas is rebuilt
// for each batch of changes: the index consists of slices without pointers, which are filled in
// one pass and cost the garbage collector nothing.

package routing

// index maps load keys to positions in a list of replicas: a hash table with linear probing. A
// nil index is empty.
type index struct {
	keys      []LoadKey
	positions []int32 // position + 1; 0: the slot is free
	mask      uint32
}

// newIndex returns an index for up to n keys, sized so that at most half of the slots are used.
func newIndex(n int) *index {
	size := 4
	for size < 2*n {
		size *= 2
	}
	return &index{keys: make([]LoadKey, size), positions: make([]int32, size), mask: uint32(size - 1)}
}

// slot returns the slot of a key, or the free slot where it would be inserted.
func (x *index) slot(key LoadKey) uint32 {
	i := uint32(key) & x.mask
	for x.positions[i] != 0 && x.keys[i] != key {
		i = (i + 1) & x.mask
	}
	return i
}

// put sets the position of a key.
func (x *index) put(key LoadKey, position int) {
	i := x.slot(key)
	x.keys[i], x.positions[i] = key, int32(1+position)
}

// lookup returns the position of a key and whether the key is present.
func (x *index) lookup(key LoadKey) (int, bool) {
	if x == nil {
		return 0, false
	}
	position := x.positions[x.slot(key)]
	return int(position) - 1, position != 0
}
