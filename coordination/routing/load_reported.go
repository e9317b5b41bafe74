// This file holds the mean load of a service's replicas as they report it on their answers.
// It counts each replica once: a mean over answers would follow the crowded replicas, which
// answer the most.

package routing

import "time"

const (
	// reportedLoadAge is how long a replica's last report counts. In it a daemon with five
	// answers a second sees half of 112 replicas.
	reportedLoadAge = 15 * time.Second
	// leastReports is how many replicas must have reported to make a mean, or half of a small
	// service's.
	leastReports = 8
)

// reportedLoads is what the replicas of a service reported last.
type reportedLoads map[LoadKey]reportedLoad

type reportedLoad struct {
	requests int
	at       time.Time
}

// mean returns the mean, in requests, and of how many replicas. It drops old reports.
func (l reportedLoads) mean(now time.Time) (mean float64, known int) {
	sum := 0
	for key, r := range l {
		if now.Sub(r.at) > reportedLoadAge {
			delete(l, key)
			continue
		}
		sum += r.requests
	}
	return float64(sum) / float64(max(1, len(l))), len(l)
}
