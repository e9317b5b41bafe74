package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// BenchmarkTakeList measures how long a daemon takes to apply a new member list of the
// size expected in two years: neighbours, duties, snapshot.
func BenchmarkTakeList(b *testing.B) {
	var members []state.Member
	for i := range 930 + 4500 {
		m := state.Member{ID: fmt.Sprintf("vm-%06d", i), Kind: state.KindDaemon, Domain: state.FailureDomain(fmt.Sprintf("fd-%d", i%11)), Address: "a", State: state.Live}
		if i >= 930 {
			m.Kind, m.Group = state.KindEngine, "g"
		}
		members = append(members, m)
	}
	f := fleet.New(fleet.Self{ID: "vm-000000", Incarnation: 1, Domain: "fd-0"}, rand.New(rand.NewPCG(1, 1)))
	f.Handle(epoch, fleet.ConfigReceived{Config: meshConfig(1, "x")})
	lists := make([]*state.MemberList, b.N)
	for i := range lists {
		lists[i] = state.NewMemberList(state.ListRevision(i+1), nil, members)
	}
	b.ResetTimer()
	for i := range b.N {
		f.Handle(epoch.Add(time.Duration(i)*time.Minute), fleet.ListReceived{List: lists[i]})
	}
}

// BenchmarkMayRunKey measures the owner's check, which runs twice for a request with a
// caller's own key, at the size expected in two years and with eight lists of history.
func BenchmarkMayRunKey(b *testing.B) {
	var members []state.Member
	for i := range 930 + 4500 {
		m := state.Member{ID: fmt.Sprintf("vm-%06d", i), Kind: state.KindDaemon, State: state.Live}
		if i >= 930 {
			m.Kind = state.KindEngine
		}
		members = append(members, m)
	}
	var history []state.AppliedList
	for i := range 8 {
		taken := epoch.Add(-time.Duration(i) * time.Minute)
		history = append(history, state.AppliedList{List: state.NewMemberList(1, nil, members), AppliedAt: taken})
	}
	key := fleet.LedgerKey{Workspace: "w", Service: "gate", Key: "own"}
	owner, _ := fleet.OwnerOf(history[0].List, key)
	view := state.OwnershipState{Confirmed: epoch, LastTick: epoch, History: history}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if fleet.MayRunKey(epoch, state.DaemonID(owner.ID), view, key, fleet.RulesOf(nil)) != nil {
			b.Fatal("the owner may not run the key")
		}
	}
}
