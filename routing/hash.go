// This file ranks replicas for a key, alike in every daemon.

package routing

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

// rank is the score of a replica for a key. The replica with the highest score
// is the key's home (rendezvous hashing): when a replica joins or leaves, only
// the keys that it wins or had won move.
func rank(key uint64, r *Replica) uint64 { return mix(key ^ r.Hash) }
