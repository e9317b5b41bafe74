// This file defines the hashes by which all daemons reach the same decision without
// exchanging a message.

package coordination

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/state"
)

// Hash returns the hash of an id. It is the same in every daemon and release.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// mix is the finalizer of splitmix64: each input bit changes half of the output bits on
// average.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Rank returns the score of a candidate for a key; both arguments are hashes. The
// candidate with the highest rank is the key's home (rendezvous hashing): when a
// candidate joins or leaves, only the keys that it gains or loses move.
func Rank(key, candidate uint64) uint64 { return mix(key ^ candidate) }

// Scramble mixes the bits of a hash or random value.
func Scramble(draw uint64) uint64 { return mix(draw) }

// ChatKeyOf returns the placement key of a chat. It includes the workspace and the
// model, which may be an adapter, because neither a cache nor a response may be shared
// across them. identity is the caller's chat id or prompt cache key, or else the
// leading turns.
func ChatKeyOf(w state.WorkspaceID, m state.ModelID, identity []byte) state.ChatKey {
	d := xxhash.New()
	writeField(d, []byte(w))
	writeField(d, []byte(m))
	writeField(d, identity)
	return state.ChatKey(d.Sum64())
}

// writeField prefixes the field with its length, so that different sequences of fields
// never produce the same bytes.
func writeField(d *xxhash.Digest, b []byte) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
	d.Write(n[:])
	d.Write(b)
}
