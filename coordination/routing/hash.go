// This file ranks replicas for a key, alike in every daemon.

package routing

import "hingewinch.org/hingewinch/coordination"

// rank is the score of a replica for a key. The replica with the highest score
// is the key's home (rendezvous hashing): when a replica joins or leaves, only
// the keys that it wins or had won move.
func rank(key uint64, r *Replica) uint64 { return coordination.Rank(key, r.Hash) }

// scramble spreads a draw over all bits.
func scramble(draw uint64) uint64 { return coordination.Rank(draw, 0) }
