// This file finds a replica of a pool by the key that tables and messages use. A view of ten
// thousand replicas is built for each batch of changes: the index is one slice without pointers,
// which is made in one pass and costs the garbage collector nothing.

package routing

// index is the places of replicas in a list, by load key: a hash table with linear probing. A nil
// one is empty.
type index struct {
	keys   []LoadKey
	places []int32 // 1 + the place; 0: the slot is free
	mask   uint32
}

// newIndex returns an index with room for n keys, of which at most half of the slots are taken.
func newIndex(n int) *index {
	size := 4
	for size < 2*n {
		size *= 2
	}
	return &index{keys: make([]LoadKey, size), places: make([]int32, size), mask: uint32(size - 1)}
}

// slot returns the slot of a key, or the free one where it belongs.
func (x *index) slot(key LoadKey) uint32 {
	i := uint32(key) & x.mask
	for x.places[i] != 0 && x.keys[i] != key {
		i = (i + 1) & x.mask
	}
	return i
}

// put sets the place of a key.
func (x *index) put(key LoadKey, place int) {
	i := x.slot(key)
	x.keys[i], x.places[i] = key, int32(1+place)
}

// place returns the place of a key, if it has one.
func (x *index) place(key LoadKey) (int, bool) {
	if x == nil {
		return 0, false
	}
	place := x.places[x.slot(key)]
	return int(place) - 1, place != 0
}
