// This file defines the hashes by which all daemons come to the same decision
// without a message.

package coordination

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/state"
)

// Hash returns the hash of an id. It is the same in every daemon and release.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// mix scrambles a word so that each input bit changes half of the output bits
// (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Rank scores a candidate for a key; both are hashes. The candidate with the
// highest rank is the key's home (rendezvous hashing): when a candidate joins or
// leaves, only the keys that it wins or had won move.
func Rank(key, candidate uint64) uint64 { return mix(key ^ candidate) }

// Scramble spreads a draw over all bits.
func Scramble(draw uint64) uint64 { return mix(draw) }

// ChatKeyOf returns the placement key of a chat. The workspace and the model,
// which may be an adapter, are part of it, because neither a cache nor an
// answer may be shared across them. identity is the caller's chat id or prompt
// cache key, or else the leading turns.
func ChatKeyOf(w state.WorkspaceID, m state.ModelID, identity []byte) state.ChatKey {
	d := xxhash.New()
	writeField(d, []byte(w))
	writeField(d, []byte(m))
	writeField(d, identity)
	return state.ChatKey(d.Sum64())
}

// writeField writes the length first, so that no two sequences of fields give
// the same bytes.
func writeField(d *xxhash.Digest, b []byte) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
	d.Write(n[:])
	d.Write(b)
}
