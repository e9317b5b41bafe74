// The mean load of a service's replicas as they report it in their responses. Each replica counts
// once: a mean over responses would be biased towards the overloaded replicas, which serve the most
// requests.

package routing

import "time"

const (
	// reportedLoadAge is how long a replica's last report is used. In this time a daemon with
	// five responses a second hears from half of 112 replicas.
	reportedLoadAge = 15 * time.Second
	// minReports is how many replicas must have reported before the mean is used; for a small
	// service it is half of its replicas.
	minReports = 8
)

// reportedLoads holds the last report of each replica of a service.
type reportedLoads map[LoadKey]reportedLoad

type reportedLoad struct {
	requests int
	at       time.Time
}

// mean returns the mean number of requests in flight, and how many replicas it covers. It drops
// old reports.
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
