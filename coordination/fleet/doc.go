// Package fleet holds the decisions of the OpenAI front end that many daemons
// take together although each sees only a sliver of the traffic and all views
// differ: which engine takes a chat, how much of its traffic an engine still
// takes, which configuration and member list are in force, who runs a request
// that must not be repeated, and what daemons send to whom.
//
// Everything here is pure: time, randomness and messages are arguments.
//
// # Usage
//
// A placement needs a pool, a chat key and nothing else:
//
//	key := coordination.ChatKeyOf(workspace, model, identity)
//	c, ok := fleet.Choose(pool, key, nil)
//
// A daemon's control loop owns one [Fleet], hands it every event with the time
// at which it happened, and carries out the effects that come back:
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
// A request that must not be repeated is begun and finished in a [Ledger]:
//
//	switch d := ledger.Begin(now, key, fingerprint).(type) {
//	case fleet.Start:
//		// given once for a key
//	case fleet.Replay:
//		// answer with d.Answer
//	}
package fleet
