// Package coordination holds the decisions that many daemons take together
// although each sees only a sliver of the traffic and all views differ: where a
// chat goes, how much of its traffic an engine still takes, who is a member,
// which configuration is in force, who runs a request that must not be
// repeated, and how news spreads.
//
// Everything here is pure. Time, randomness and messages are arguments, there
// is no I/O, no goroutine and no lock, so the same code runs in a daemon, in a
// property test and in a measurement. A type is used by one goroutine at a time
// unless its comment says otherwise.
//
// # Usage
//
// A placement needs a pool, a chat key and nothing else:
//
//	key := coordination.ChatKeyOf(workspace, model, identity)
//	c, ok := coordination.Choose(pool, key, nil)
//
// A daemon's control loop owns one [Fleet], hands it every event with the time
// at which it happened, and carries out the effects that come back:
//
//	f := coordination.NewFleet(self, rng)
//	for ev := range events {
//		for _, eff := range f.Handle(time.Now(), ev) {
//			switch eff := eff.(type) {
//			case coordination.Publish:
//				snapshot.Store(eff.Snapshot)
//			case coordination.SendNews:
//				go exchange(eff.Peer, eff.News)
//			}
//		}
//	}
//
// A request that must not be repeated is begun and finished in a [Ledger]:
//
//	switch d := ledger.Begin(now, key, fingerprint).(type) {
//	case coordination.Start:
//		// the only one who is ever told to start this key
//	case coordination.Replay:
//		// answer with d.Answer
//	}
package coordination
