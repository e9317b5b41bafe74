package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

// Example discovers a member through a seed.
func Example() {
	now := time.Now()
	rng := rand.New(rand.NewPCG(1, 1))
	self := membership.Member{Address: "10.0.0.2:1", Domain: "z", Incarnation: 1}
	roster := membership.NewRoster(self, []membership.Address{"10.0.0.1:1"})
	fmt.Println(roster.Targets(now, rng), roster.PlanReads(now, false))
	roster.Observe([]membership.Member{{Address: "10.0.0.1:1", Domain: "z", Incarnation: 1, Heartbeats: 1}}, now)
	fmt.Println(len(roster.Live(now)), roster.PlanReads(now, false))
	// Output:
	// [10.0.0.1:1] {true 450ms 100ms}
	// 1 {false 4s 1s}
}
