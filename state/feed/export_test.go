package feed

import (
	"slices"
	"strings"
)

// Each calls visit for each document below a prefix that is not gone, in the
// order of the keys.
func (f *Feed) Each(prefix string, visit func(Item)) {
	var keys []string
	for key, it := range f.items {
		if !it.Gone && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		visit(f.items[key])
	}
}
