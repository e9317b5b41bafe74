// Package membership lets daemons find each other without a list from outside,
// and decides two things from whom they know: to which daemons a heartbeat goes
// (targets.go), and which daemons read the store of documents (readers.go).
//
// A daemon begins at its seeds. Several times a second it sends a heartbeat to some
// others, which names the sender and some members that it knows. Nothing is
// elected. A member of which nothing was received for a while no longer counts
// as live; its next heartbeat brings it back.
//
// The package owns the [Roster] of known daemons, for the life of the process. It is
// pure: messages are values, time and randomness are arguments. It relies on
// each daemon being sent the heartbeats of its peers, and on their incarnations
// rising with each start, or at least differing.
//
// # Usage
//
//	roster := membership.NewRoster(self, seeds)
//	targets := roster.Targets(now, rng)      // where the next heartbeat goes
//	joined := roster.Observe(received, now)  // what a heartbeat named
//	live := roster.Live(now)
//	plan := roster.PlanReads(now, large)
package membership
