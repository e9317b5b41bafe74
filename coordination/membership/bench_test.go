package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state"
)

// benchDomains is the number of failure domains in the benchmarks.
const benchDomains = 6

func benchMember(i int) membership.Member {
	return membership.Member{
		Address: membership.Address(fmt.Sprintf("10.%d.%d.%d:7340", i%benchDomains, i/250, i%250)),
		Domain:  state.FailureDomain(fmt.Sprintf("domain-%d", i%benchDomains)), Incarnation: 1, Heartbeats: 1,
	}
}

func benchRoster(daemons int, now time.Time) *membership.Roster {
	r := membership.NewRoster(benchMember(0), []membership.Address{benchMember(1).Address})
	for i := 1; i < daemons; i++ {
		r.Observe([]membership.Member{benchMember(i)}, now)
	}
	return r
}

// BenchmarkReceive measures processing a heartbeat with 15 members, including the calls that the control loop
// makes for each heartbeat.
func BenchmarkReceive(b *testing.B) {
	for _, daemons := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			r := benchRoster(daemons, now)
			named := make([]membership.Member, 15)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				for k := range named {
					m := benchMember(1 + (15*n+k)%(daemons-1))
					m.Heartbeats = uint64(n + 2)
					named[k] = m
				}
				r.IsNew(named[0], now)
				r.Observe(named, now)
				r.ObserveSize(daemons)
				r.PlanReads(now, true)
				r.Domains()
			}
		})
	}
}

// BenchmarkSend measures choosing the targets of a heartbeat and the members that it names.
func BenchmarkSend(b *testing.B) {
	for _, daemons := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			r := benchRoster(daemons, now)
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.NextHeartbeat()
				r.Size(now)
				r.Targets(now, rng)
				r.Sample(now, rng)
			}
		})
	}
}

// BenchmarkSendAfterLoss measures choosing the targets of a heartbeat after half of the fleet was lost.
func BenchmarkSendAfterLoss(b *testing.B) {
	for _, daemons := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			r := benchRoster(daemons, now)
			now = now.Add(70 * time.Second)
			for i := 1; i < daemons/2; i++ {
				m := benchMember(i)
				m.Heartbeats++
				r.Observe([]membership.Member{m}, now)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Targets(now, rng)
			}
		})
	}
}
