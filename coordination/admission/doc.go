// Package admission shares the slots of a saturated service among the daemons. A service is
// saturated if its replicas have too few slots for what callers ask for. Daemons then acquire a
// permit before they send a request to a replica of it. One daemon, the coordinator of the service,
// grants the permits and chooses the replica:
//
//	messages.go     the messages between daemons and coordinators
//	evidence.go     which response times and loads show that a service is saturated
//	coordinator.go  which permits are out, and which replica a permit is for
//	decide.go       which listed requests for permits are queued or refused
//	places.go       how many places the replicas have, and which are occupied or closed
//	expire.go       what a coordinator was told and that has expired
//	queue.go        the order in which waiting requests get permits
//	deadlines.go    which waiting requests have passed their deadline
//	returns.go      when a refused caller is asked to come back
//	speed.go        how long replicas take for a request, usually and at the moment
//	status.go       what operators see of a coordinator
//	client.go       a daemon's side: when permits are needed, which daemon is asked for them, and
//	                what happens if it does not reply
//	asks.go         which requests for permits a message lists
//	daemon.go       the client of a daemon and the coordinators that it runs, behind one interface
//
// The coordinator is not elected. Each daemon computes it from the members that it knows. All
// state is in memory; a new coordinator learns which requests are in flight from the next message
// of each daemon.
//
// The package starts no goroutines, does no I/O and reads no clock. A [Daemon] belongs to the
// control loop and is not safe for concurrent use.
//
// # Usage
//
//	d := admission.NewDaemon(self)
//	d.SetMembers(live, now)                         // as the roster changes
//	d.SetReplicas(service, replicas, now)           // as the view changes
//	if d.Saturated(service, now) {
//		d.Ask(service, ask, now)
//	}
//	for _, e := range d.Take(now) {                 // after each call
//		switch e := e.(type) {
//		case admission.SendRequest:                // to the coordinator
//		case admission.SendReply:                  // to a daemon that asked
//		case admission.Decided:                    // to the request that waits for it
//		}
//	}
//	d.Finish(service, finished, now)                // when the request has ended
package admission
