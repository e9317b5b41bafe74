package gossip

import (
	"fmt"
	"testing"

	"hingewinch.org/hingewinch/state/feed"
)

// BenchmarkDocuments encodes and decodes responses of different sizes.
func BenchmarkDocuments(b *testing.B) {
	for _, n := range []int{1, 100, 10000} {
		d := Documents{Revision: 9}
		for i := range n {
			d.Items = append(d.Items, feed.Item{
				Key: fmt.Sprintf("servers/i-%08x", 7919*i), Revision: feed.Revision(i),
				Value: []byte(fmt.Sprintf(`{"service":"s","address":"10.1.2.3:%d","zone":"a","slots":16,"state":"ready","born":%d}`, i%65536, 1700000000000+i)),
			})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				packed, err := EncodeDocuments(&d)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeDocuments(packed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
