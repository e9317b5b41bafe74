package feed

import "slices"

// Each calls visit for each document that is held, in the order of the keys.
func (f *Feed) Each(visit func(Item)) {
	var keys []string
	for key, it := range f.items {
		if !it.Deleted {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		visit(f.items[key])
	}
}
