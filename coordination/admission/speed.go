// How long requests take at the replicas of one service, usually and at present.
//
// Inputs: the permits that have finished with a complete response: how long the request took for
// its daemon, and how long the permit was out for the coordinator. The rule:
//
//  1. The usual time is a mean over usualSpan of the requests at all replicas, so that a replica
//     that is slow for some hundred milliseconds hardly changes it. Until a request has finished
//     it is assumedUsual.
//  2. The present time of a replica is a mean over presentSpan of its requests and, with a weight
//     of usualWeight requests, of the usual time. Without requests it therefore returns to the
//     usual time, within a second.
//  3. The overhead is a mean over usualSpan of the time for which a permit is out beyond the time
//     that its request takes: the messages, and the delay of the message that reports the end. A
//     longer time than maxOverhead, after a pause of a process, counts as that.
//  4. The throughput is the number of requests that a service with no free place completes in a
//     second: each place completes one in the present time of its replica and the overhead.

package admission

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

const (
	// usualSpan is the time over which usual times are averaged. A slow period of a replica lasts
	// 600 ms, the load changes over minutes.
	usualSpan = 10 * time.Second
	// presentSpan is the time over which the present time of a replica is averaged. The speed of a
	// replica changes several times a second.
	presentSpan = 150 * time.Millisecond
	// usualWeight is the weight of the usual time in the present time of a replica, in requests. A
	// replica completes some 15 in presentSpan; after a second without any, those weigh 2% of that.
	usualWeight = 1
	// assumedUsual is used as the usual time until a request has finished.
	assumedUsual = 30 * time.Millisecond
	// maxOverhead is far above the time of two messages between failure domains and a delayed
	// report of the end.
	maxOverhead = 30 * time.Millisecond
)

// serviceSpeed is the speed of a service. The zero value knows of no request.
type serviceSpeed struct{ times, overheads coordination.DecayingMean }

// finished records a request that was completed. took is its time for the daemon, out the time for
// which its permit was out.
func (s *serviceSpeed) finished(took, out time.Duration, now time.Time) {
	s.times.Add(took, usualSpan, now)
	s.overheads.Add(min(max(0, out-took), maxOverhead), usualSpan, now)
}

// usual returns the usual time of a request.
func (s *serviceSpeed) usual() time.Duration {
	if s.times.IsEmpty() {
		return assumedUsual
	}
	return s.times.Mean()
}

// overhead returns the time for which a permit is out beyond the time of its request.
func (s *serviceSpeed) overhead() time.Duration { return s.overheads.Mean() }

// replicaSpeed is the speed of one replica. The zero value knows of no request.
type replicaSpeed struct{ times coordination.DecayingMean }

// finished records a request that was completed.
func (s *replicaSpeed) finished(took time.Duration, now time.Time) {
	s.times.Add(took, presentSpan, now)
}

// present returns the present time of a request at the replica.
func (s *replicaSpeed) present(usual time.Duration, now time.Time) time.Duration {
	w := s.times.WeightAt(presentSpan, now)
	return time.Duration((w*float64(s.times.Mean()) + usualWeight*float64(usual)) / (w + usualWeight))
}
