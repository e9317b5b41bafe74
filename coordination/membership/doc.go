// Package membership implements the gossip membership protocol by which daemons
// discover each other without an external list. From the known members it decides
// to which daemons a heartbeat goes (targets.go) and which daemons read the store of
// documents (readers.go).
//
// A daemon starts with its seeds. Several times a second it sends a heartbeat to some
// other daemons. A heartbeat describes its sender and some members that the sender
// knows. There is no leader election. A member about which nothing has been received
// for some time no longer counts as live; its next heartbeat makes it live again.
//
// The [Roster] of known daemons is held in memory. The package does no I/O and reads
// no clock: messages are values, and time and randomness are arguments. It relies on
// daemons receiving the heartbeats of their peers, and on each start of a daemon having
// a higher incarnation, or at least a different one.
//
// # Usage
//
//	roster := membership.NewRoster(self, seeds)
//	targets := roster.Targets(now, rng)      // recipients of the next heartbeat
//	joined := roster.Observe(received, now)  // the members in a heartbeat
//	live := roster.Live(now)
//	plan := roster.PlanReads(now, large)
package membership
