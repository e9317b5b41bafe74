package feed_test

import (
	"fmt"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/state/feed"
)

// BenchmarkEra measures entering an era with a list that matches the held documents, and computing a digest
// for a peer of the same era and for a peer of another era.
func BenchmarkEra(b *testing.B) {
	const entryBytes = 250
	for _, n := range []int{100, 1000, 10000, 20000} {
		var items []feed.Item
		for i := range n {
			items = append(items, doc(fmt.Sprintf("replica-%05d", i), "1.1 "+strings.Repeat("x", entryBytes), feed.Revision(i+1)))
		}
		f := feed.New(numberedVersions{})
		f.EnterEra(1)
		f.ApplyList(items, feed.Revision(n))
		b.Run(fmt.Sprintf("enter/%d", n), func(b *testing.B) {
			for i := range b.N {
				f.EnterEra(feed.Era(i + 2))
				if changed := f.ApplyList(items, feed.Revision(n)); len(changed) > 0 {
					b.Fatal(len(changed), "documents changed")
				}
			}
		})
		for _, byRevision := range []bool{true, false} {
			b.Run(fmt.Sprintf("digest by revision %t/%d", byRevision, n), func(b *testing.B) {
				for range b.N {
					f.Digest(byRevision)
				}
			})
		}
	}
}
