package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// BenchmarkTakeList measures what a daemon does with a new member list of the
// size of two years: neighbours, duties, snapshot.
func BenchmarkTakeList(b *testing.B) {
	var members []state.Member
	for i := range 930 + 4500 {
		m := state.Member{ID: fmt.Sprintf("vm-%06d", i), Kind: state.KindDaemon, Domain: state.FailureDomain(fmt.Sprintf("fd-%d", i%11)), Address: "a", State: state.Live}
		if i >= 930 {
			m.Kind, m.Group = state.KindEngine, "g"
		}
		members = append(members, m)
	}
	f := coordination.NewFleet(coordination.Self{ID: "vm-000000", Incarnation: 1, Domain: "fd-0"}, rand.New(rand.NewPCG(1, 1)))
	f.Handle(epoch, coordination.ConfigLearned{Config: meshConfig(1, "x")})
	lists := make([]*state.MemberList, b.N)
	for i := range lists {
		lists[i] = state.NewMemberList(state.ListRevision(i+1), nil, members)
	}
	b.ResetTimer()
	for i := range b.N {
		f.Handle(epoch.Add(time.Duration(i)*time.Minute), coordination.ListLearned{List: lists[i]})
	}
}
