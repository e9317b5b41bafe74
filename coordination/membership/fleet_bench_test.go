package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/state"
)

// BenchmarkFleet plays a fleet that starts at once, in virtual time, and reports what daemons know
// after 10 and 40 s: the share of the members of the own domain and of others, the size of the
// fleet beside the true one, how many read the store, and how old the newest is that is known of
// another domain, in ms: the 99th in a hundred and the oldest.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{300, 986} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for range b.N {
				n := newNetwork()
				n.every, n.domains = 2*beat, benchDomains
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
