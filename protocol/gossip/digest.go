// This file encodes the digest by which a daemon finds out in which parts its documents differ
// from a peer's.

package gossip

import (
	"math/bits"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state/feed"
)

type digestMessage struct {
	_        struct{} `cbor:",toarray"`
	Position positionMessage
	Sums     []uint64
}

// EncodeDigest encodes a digest.
func EncodeDigest(d *feed.Digest) ([]byte, error) {
	return encode(&digestMessage{Position: positionMessage{Era: d.Era, Revision: d.Revision}, Sums: d.Sums})
}

// DecodeDigest is the reverse of [EncodeDigest].
func DecodeDigest(payload []byte) (feed.Digest, error) {
	var m digestMessage
	if err := decode(payload, &m); err != nil {
		return feed.Digest{}, err
	}
	if !isNumberOfParts(len(m.Sums)) {
		return feed.Digest{}, eris.Errorf("a digest of %d parts; want a power of two from %d to %d", len(m.Sums), feed.MinParts, feed.MaxParts)
	}
	return feed.Digest{Era: m.Position.Era, Revision: m.Position.Revision, Sums: m.Sums}, nil
}

func isNumberOfParts(n int) bool {
	return n >= feed.MinParts && n <= feed.MaxParts && bits.OnesCount(uint(n)) == 1
}

// EncodeParts encodes which parts are asked for, as a bit for each.
func EncodeParts(parts feed.Parts) []byte {
	out := make([]byte, (len(parts)+7)/8)
	for i, isAsked := range parts {
		if isAsked {
			out[i/8] |= 1 << (i % 8)
		}
	}
	return out
}

// DecodeParts is the reverse of [EncodeParts].
func DecodeParts(bitmap []byte) (feed.Parts, error) {
	n := 8 * len(bitmap)
	if !isNumberOfParts(n) {
		return nil, eris.Errorf("%d parts are asked for; want a power of two from %d to %d", n, feed.MinParts, feed.MaxParts)
	}
	parts := make(feed.Parts, n)
	for i := range parts {
		parts[i] = bitmap[i/8]&(1<<(i%8)) != 0
	}
	return parts, nil
}
