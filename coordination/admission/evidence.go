// Evidence that a service is saturated.
//
// The inputs are the attempts of this daemon: how long a response took to begin, the latency target
// of its route, whether a replica rejected the request, and the load of the least loaded replica when
// one was chosen, by this daemon's own requests in flight and the latest counts of its peers.
//
//  1. A response that begins later than slowShare of the target is evidence: at that time requests
//     wait in the queues of the replicas. It counts from when the request was sent, without the wait
//     for a permit.
//  2. A replica that rejects a request as full is evidence, unless it asked for a backoff
//     (routing/backoffs.go).
//  3. A replica that gives no response is no evidence: it may be gone.
//  4. If the least loaded replica that may be chosen for a request has no free place, that is evidence. A response, the
//     evidence of rule 1, comes late from replicas that are full: without rule 4, all requests until then are
//     sent without permits. It does not apply to an attempt that leaves out replicas that were tried before.
//  5. A daemon that knows the requests of a part of the daemons only, as on a side of a fleet that is cut,
//     compares them with that part of the places, minCoverage at least: the daemons that it does not hear send
//     requests too.

package admission

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

const (
	// slowShare is the share of a route's target from which a response is slow. A request at a replica
	// that is not crowded takes a tenth to a half of the target.
	slowShare = 0.75
	// minCoverage keeps a few requests of a daemon that is alone, or knows little of a large fleet, from
	// counting as evidence.
	minCoverage = 0.5
)

// IsSlow reports whether a response that took the given time to begin is evidence of saturation.
// Routes without a target give none.
func IsSlow(took, target time.Duration) bool {
	return target > 0 && float64(took) > slowShare*float64(target)
}

// IsFull reports whether the choice of a replica is evidence of saturation, by rules 4 and 5.
func IsFull(t *routing.Target) bool {
	places := float64(t.Least.Slots + extraPlaces)
	return t.Least.Slots > 0 && float64(t.Least.Load) >= places*max(minCoverage, t.Coverage)
}
