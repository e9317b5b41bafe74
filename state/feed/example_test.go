package feed_test

import (
	"fmt"

	"hingewinch.org/hingewinch/state/feed"
)

// Example applies a list and a change, and returns the changes for a peer.
func Example() {
	f := feed.New(nil)
	f.ApplyList([]feed.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, 4)
	f.Apply([]feed.Item{{Key: "a", Revision: 5, Deleted: true}})
	items, complete := f.Since(4)
	fmt.Println(f.Revision(), len(items), items[0].Key, items[0].Deleted, complete)
	// Output: 5 1 a true false
}
