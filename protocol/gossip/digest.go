// This file encodes the digest with which a daemon finds the parts of its documents that differ
// from a peer's, and the bitmap with which it requests these parts.

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

// DecodeDigest decodes a digest. It rejects one whose number of parts is not allowed.
func DecodeDigest(payload []byte) (feed.Digest, error) {
	var m digestMessage
	if err := decode(payload, &m); err != nil {
		return feed.Digest{}, err
	}
	if !isNumberOfParts(len(m.Sums)) {
		return feed.Digest{}, eris.Errorf("digest has %d parts; want a power of two from %d to %d", len(m.Sums), feed.MinParts, feed.MaxParts)
	}
	return feed.Digest{Era: m.Position.Era, Revision: m.Position.Revision, Sums: m.Sums}, nil
}

// isNumberOfParts reports whether n is a power of two within the limits of a digest.
func isNumberOfParts(n int) bool {
	return n >= feed.MinParts && n <= feed.MaxParts && bits.OnesCount(uint(n)) == 1
}

// EncodeParts encodes the set of requested parts as a bitmap.
func EncodeParts(parts feed.Parts) []byte {
	out := make([]byte, (len(parts)+7)/8)
	for i, isAsked := range parts {
		if isAsked {
			out[i/8] |= 1 << (i % 8)
		}
	}
	return out
}

// DecodeParts decodes a bitmap of requested parts. It rejects one whose number of parts is not
// allowed.
func DecodeParts(bitmap []byte) (feed.Parts, error) {
	n := 8 * len(bitmap)
	if !isNumberOfParts(n) {
		return nil, eris.Errorf("request for parts has %d parts; want a power of two from %d to %d", n, feed.MinParts, feed.MaxParts)
	}
	parts := make(feed.Parts, n)
	for i := range parts {
		parts[i] = bitmap[i/8]&(1<<(i%8)) != 0
	}
	return parts, nil
}
