package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/state"
)

// BenchmarkFleet simulates in virtual time a fleet whose daemons start at once, and reports what they know
// after 10 and 40 s: the known share of the members of the own domain (near) and of other domains (far), the
// known size of the fleet relative to the true size, the number of daemons that read the store, and the age of
// the newest heartbeat from another domain in ms (99th percentile and maximum).
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{300, 986} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for range b.N {
				n := newNetwork()
				n.interval, n.domains = 2*heartbeatInterval, benchDomains
				for i := range daemons {
					n.start(i, 1, 0, 1, 2)
				}
				n.run(10 * time.Second)
				reportFleet(b, n, daemons, "10s")
				n.run(30 * time.Second)
				reportFleet(b, n, daemons, "40s")
			}
		})
	}
}

func reportFleet(b *testing.B, n *network, daemons int, when string) {
	var near, far, size, readers float64
	var ages []time.Duration
	for _, r := range n.rosters {
		known := make(map[state.FailureDomain]int)
		for _, m := range r.Live(n.now) {
			known[m.Domain]++
		}
		own := r.Self().Domain
		near += float64(known[own]) / float64(daemons/benchDomains)
		for d, count := range known {
			if d != own {
				far += float64(count) / float64(daemons-daemons/benchDomains)
			}
		}
		size += float64(r.Size(n.now)) / float64(daemons)
		if r.PlanReads(n.now, true).Reads {
			readers++
		}
		for d, at := range r.Domains() {
			if d != own {
				ages = append(ages, n.now.Sub(at))
			}
		}
	}
	of := float64(daemons)
	b.ReportMetric(near/of, when+"-near")
	b.ReportMetric(far/of, when+"-far")
	b.ReportMetric(size/of, when+"-size")
	b.ReportMetric(readers, when+"-readers")
	b.ReportMetric(float64(percentile(ages, 99).Milliseconds()), when+"-domain-p99-ms")
	b.ReportMetric(float64(percentile(ages, 100).Milliseconds()), when+"-domain-oldest-ms")
}

func percentile(ages []time.Duration, p int) time.Duration {
	sorted := slices.Sorted(slices.Values(ages))
	return sorted[(len(sorted)-1)*p/100]
}
