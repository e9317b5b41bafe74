package gossip

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/state/feed"
)

// TestDigestRoundTrip encodes and decodes digests and bitmaps of requested parts.
func TestDigestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 1 << rapid.IntRange(3, 14).Draw(t, "parts")
		want := feed.Digest{Revision: feed.Revision(rapid.Uint64().Draw(t, "revision")), Sums: make([]uint64, n)}
		asked := make(feed.Parts, n)
		for range rapid.IntRange(0, 20).Draw(t, "set") {
			i := rapid.IntRange(0, n-1).Draw(t, "part")
			want.Sums[i], asked[i] = rapid.Uint64().Draw(t, "sum"), true
		}
		payload, err := EncodeDigest(&want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeDigest(payload)
		if err != nil || got.Revision != want.Revision || !slices.Equal(got.Sums, want.Sums) {
			t.Fatalf("got %v, %v", got, err)
		}
		parts, err := DecodeParts(EncodeParts(asked))
		if err != nil || !slices.Equal(parts, asked) {
			t.Fatalf("got %v, %v", parts, err)
		}
	})
}

// TestDigestsOfInvalidSizeAreRejected checks that a peer can't make a daemon compute checksums
// for an invalid number of parts.
func TestDigestsOfInvalidSizeAreRejected(t *testing.T) {
	for _, n := range []int{0, 1, 4, 12, 1 << 15} {
		payload, err := EncodeDigest(&feed.Digest{Sums: make([]uint64, n)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeDigest(payload); err == nil {
			t.Errorf("a digest of %d parts was accepted", n)
		}
	}
	for _, n := range []int{0, 3, 1 << 12} {
		if _, err := DecodeParts(make([]byte, n)); err == nil {
			t.Errorf("a bitmap of %d bytes was accepted", n)
		}
	}
}
