package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestReplicaListMatchesEntries puts and removes replicas in random order and compares
// the pool with one that is built and sorted from scratch. Pools that were returned earlier must
// not change.
func TestReplicaListMatchesEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, entries := routing.NewReplicaList(), make(map[routing.ReplicaID]routing.Replica)
		var before *routing.Pool
		var copied []routing.Replica
		for range rapid.IntRange(1, 8).Draw(t, "batches") {
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				r := routing.NewReplica(routing.Replica{
					ID: routing.ReplicaID(fmt.Sprint("r", rapid.IntRange(0, 12).Draw(t, "id"))), Service: "s",
					StartTime: routing.StartTime(rapid.IntRange(0, 3).Draw(t, "start time")), Draining: rapid.Bool().Draw(t, "draining"),
				})
				if rapid.IntRange(0, 2).Draw(t, "removed") == 0 {
					list.Remove(r.ID)
					delete(entries, r.ID)
					continue
				}
				list.Put(r)
				entries[r.ID] = r
			}
			got, want := list.Pool(), poolOf(entries)
			if !slices.Equal(got.Ready, want.Ready) || !slices.Equal(got.Draining, want.Draining) {
				t.Fatalf("got %v and %v, want %v and %v", got.Ready, got.Draining, want.Ready, want.Draining)
			}
			v := routing.View{Pools: map[routing.ServiceName]*routing.Pool{"s": got}}
			for i := range got.Ready {
				r := &got.Ready[i]
				if found := v.Replica(r.LoadKey()); found == nil || found.ID != r.ID {
					t.Fatalf("%v is not found by its load key", r)
				}
				if found := v.Replica(routing.LoadKey(r.Hash)); found == nil || found.ID != r.ID {
					t.Fatalf("%v is not found by the hash of its id", r)
				}
			}
			if before != nil && !slices.Equal(before.Ready, copied) {
				t.Fatal("a pool was modified after it was returned")
			}
			before, copied = got, slices.Clone(got.Ready)
		}
	})
}

// poolOf builds a pool of entries from scratch.
func poolOf(entries map[routing.ReplicaID]routing.Replica) *routing.Pool {
	p := &routing.Pool{}
	for _, r := range entries {
		if r.Draining {
			p.Draining = append(p.Draining, r)
			continue
		}
		p.Ready = append(p.Ready, r)
	}
	p.Sort()
	return p
}

// BenchmarkReplicaListUpdate applies a batch of three changed entries and builds the pool, from
// scratch and with the list.
func BenchmarkReplicaListUpdate(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 20000} {
		entries, list := make(map[routing.ReplicaID]routing.Replica), routing.NewReplicaList()
		for i := range n {
			r := routing.NewReplica(routing.Replica{
				ID: routing.ReplicaID(fmt.Sprintf("i-%08x", rand.Uint32())), Service: "s", Slots: 16, StartTime: routing.StartTime(1 + i), Address: "10.0.0.1:80",
			})
			entries[r.ID] = r
			list.Put(r)
		}
		ids := make([]routing.ReplicaID, 0, n)
		for id := range entries {
			ids = append(ids, id)
		}
		change := func(i int) routing.Replica {
			r := entries[ids[i%n]]
			r.ColdUntil = r.ColdUntil.Add(time.Second)
			entries[r.ID] = r
			return r
		}
		b.Run(fmt.Sprintf("rebuild/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				for k := range 3 {
					change(3*i + k)
				}
				poolOf(entries)
			}
		})
		b.Run(fmt.Sprintf("list/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			list.Pool()
			for i := range b.N {
				for k := range 3 {
					list.Put(change(3*i + k))
				}
				list.Pool()
			}
		})
	}
}

// TestOverlayDoesNotModifySharedPool applies evacuations and announced departures to overlays of a
// pool, and checks that the pool itself, which other views share, does not change.
func TestOverlayDoesNotModifySharedPool(t *testing.T) {
	list := routing.NewReplicaList()
	for i := range 6 {
		list.Put(routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", i)), Service: "s", Domain: "a", StartTime: 1}))
	}
	entries := list.Pool()
	evacuations := routing.NewEvacuations()
	evacuations.Begin("a")
	p := entries.Overlay()
	if !evacuations.Apply(p, time.Second) || len(p.Ready) != 0 || len(p.Evacuated) != 6 {
		t.Fatalf("evacuated: %d ready, %d evacuated", len(p.Ready), len(p.Evacuated))
	}
	evacuations.End("a", epoch)
	p = entries.Overlay()
	if !evacuations.Apply(p, time.Second) || !p.Ready[0].IsCold(epoch) {
		t.Fatal("returned to service: not cold")
	}
	leavings := routing.NewDepartures()
	leavings.Observe([]routing.DepartureReport{{Replica: entries.Ready[2].LoadKey()}}, epoch)
	p = entries.Overlay()
	if !leavings.Apply(p) || len(p.Ready) != 5 || len(p.Draining) != 1 {
		t.Fatalf("departing: %d ready, %d draining", len(p.Ready), len(p.Draining))
	}
	for i, r := range entries.Ready {
		if !strings.HasSuffix(string(r.ID), fmt.Sprint(i)) || r.IsCold(epoch) {
			t.Fatalf("the shared pool was modified: %v", entries.Ready)
		}
	}
	if len(entries.Ready) != 6 || len(entries.Draining) != 0 {
		t.Fatal("the shared pool was modified")
	}
}

// BenchmarkRestoreExpired adds to a pool the replicas whose entries expired together during a
// store outage, as each view does for some seconds.
func BenchmarkRestoreExpired(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, x := routing.NewReplicaList(), routing.NewExpiredEntries()
			for i := range 4 * n {
				r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", i)), Service: "s", StartTime: 1})
				if i%4 == 0 {
					x.Add(r, true, epoch.Add(time.Duration(i)*time.Second/time.Duration(4*n)))
					continue
				}
				list.Put(r)
			}
			pool := list.Pool()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				x.Restore("s", pool.Overlay(), epoch.Add(time.Second))
			}
		})
	}
}

// BenchmarkApplyDepartures applies to a pool the departures that replicas announced, a sixteenth of
// all, as each view and each choice does while their entries are still ready.
func BenchmarkApplyDepartures(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, l := routing.NewReplicaList(), routing.NewDepartures()
			for i := range n {
				r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", i)), Service: "s", StartTime: 1})
				list.Put(r)
				if i%16 == 0 {
					l.Observe([]routing.DepartureReport{{Replica: r.LoadKey()}}, epoch)
				}
			}
			pool := list.Pool()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.Apply(pool.Overlay())
			}
		})
	}
}
