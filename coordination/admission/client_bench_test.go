package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// BenchmarkPermit measures the work of both daemons for one permit: the ask, the grant, and the
// release with the next ask.
func BenchmarkPermit(b *testing.B) {
	w := newWorld(1, 12)
	ranked := w.ranked()
	for _, n := range ranked {
		var live []membership.Member
		for _, m := range without(w.nodes, n) {
			live = append(live, m.m)
		}
		n.d.SetMembers(live, 12, worldStart)
	}
	coordinator, asker := ranked[0].d, ranked[11].d
	now := worldStart.Add(settleFor)
	granted := 0
	b.ReportAllocs()
	for i := range b.N {
		id := PermitID(i + 1)
		now = now.Add(time.Millisecond)
		asker.ReportSaturated(svc, now)
		asker.Ask(svc, Ask{ID: id, UntilTarget: ms(150), UntilDeadline: ms(2500)}, now)
		granted += exchange(asker, coordinator, now)
		if i > 0 {
			asker.Finish(svc, Finished{ID: id - 1, Took: time.Millisecond, Result: Completed}, now)
		}
	}
	if granted != b.N {
		b.Fatalf("%d of %d asks were granted", granted, b.N)
	}
}

// BenchmarkReplicaPermit measures the work of both daemons for one permit at a single replica of many: the choice of
// the coordinator among 986 daemons, the ask, the grant and the release.
func BenchmarkReplicaPermit(b *testing.B) {
	const daemons, replicas = 986, 300
	var all []membership.Member
	for i := range daemons {
		all = append(all, membership.Member{Address: membership.Address(fmt.Sprintf("10.0.%d.%d:1", i/256, i%256)), Incarnation: 1})
	}
	newAt := func(i int) *Daemon {
		d := NewDaemon(all[i])
		d.SetMembers(append(append([]membership.Member(nil), all[:i]...), all[i+1:]...), daemons, worldStart)
		d.SetBrittle(svc, true, 1, worldStart)
		return d
	}
	asker, others := newAt(0), make(map[membership.Address]*Daemon)
	now, granted := worldStart.Add(settleFor), 0
	b.ReportAllocs()
	for i := range b.N {
		id, r := PermitID(i+1), Replica{Key: routing.LoadKey(1 + i%replicas), Slots: 16}
		now = now.Add(time.Millisecond)
		asker.SetReplica(svc, r)
		asker.AskAt(svc, r.Key, Ask{ID: id, UntilTarget: ms(400), UntilDeadline: ms(2500)}, true, 0, now)
		to := asker.clients[replicaPool(svc, r.Key)].current.to.address
		coordinator := others[to]
		if coordinator == nil {
			b.StopTimer()
			coordinator = newAt(slices.IndexFunc(all, func(m membership.Member) bool { return m.Address == to }))
			others[to] = coordinator
			b.StartTimer()
		}
		coordinator.SetReplica(svc, r)
		coordinator.coordinator(coordinator.clients[replicaPool(svc, r.Key)], ReplicaScope(r.Key), false, now).strict.learningUntil = time.Time{}
		granted += exchange(asker, coordinator, now)
		asker.FinishAt(svc, r.Key, Finished{ID: id, Took: time.Millisecond, Result: Completed}, now)
	}
	if granted != b.N {
		b.Fatalf("%d of %d asks were granted", granted, b.N)
	}
}

// exchange passes messages on until there are none, and returns the number of grants.
func exchange(asker, coordinator *Daemon, now time.Time) (granted int) {
	for again := true; again; {
		again = false
		for _, e := range asker.Take(now) {
			switch e := e.(type) {
			case SendRequest:
				coordinator.ReceiveRequest(e.Request, now)
				again = true
			case Decided:
				if _, ok := e.Decision.(Granted); ok {
					granted++
				}
			}
		}
		for _, e := range coordinator.Take(now) {
			if e, ok := e.(SendReply); ok {
				asker.ReceiveReply(e.Reply, now)
				again = true
			}
		}
	}
	return granted
}

// BenchmarkSetMembers measures what the daemon does when a heartbeat changed nothing.
func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{34, 986} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var live []membership.Member
			for i := range n {
				live = append(live, membership.Member{Address: membership.Address(fmt.Sprint(i)), Incarnation: 1})
			}
			d := NewDaemon(membership.Member{Address: "self"})
			b.ReportAllocs()
			for range b.N {
				d.SetMembers(live, n+1, worldStart)
			}
		})
	}
}
