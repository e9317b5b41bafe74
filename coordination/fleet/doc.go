// Package fleet holds the decisions of the OpenAI front end on which many daemons
// must agree although each sees only a part of the traffic and their views differ:
// which engine serves a chat, how much traffic an engine still accepts, which
// configuration and member list are in force, which daemon runs a request that must
// not be repeated, and what daemons exchange with whom.
//
// The package does no I/O: time, randomness and messages are arguments.
//
// # Usage
//
// Placing a chat needs only a pool and a chat key:
//
//	key := coordination.ChatKeyOf(workspace, model, identity)
//	c, ok := fleet.Choose(pool, key, nil)
//
// A daemon's control loop owns one [Fleet], passes every event to it with the time at
// which it happened, and executes the effects that it returns:
//
//	f := fleet.New(self, rng)
//	for ev := range events {
//		for _, eff := range f.Handle(time.Now(), ev) {
//			switch eff := eff.(type) {
//			case fleet.Publish:
//				snapshot.Store(eff.Snapshot)
//			case fleet.SendGossip:
//				go exchange(eff.Peer, eff.Gossip)
//			}
//		}
//	}
//
// A request that must not be repeated is registered and completed in a [Ledger]:
//
//	switch d := ledger.Begin(now, key, fingerprint).(type) {
//	case fleet.Start:
//		// returned once per key
//	case fleet.Replay:
//		// respond with d.Answer
//	}
package fleet
