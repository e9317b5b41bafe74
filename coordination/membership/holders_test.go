package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/state"
)

// holderFleet returns the members of a fleet, and the roster of each of them, which knows all others.
func holderFleet(daemons, domains int, now time.Time) ([]Member, []*Roster) {
	var members []Member
	for i := range daemons {
		members = append(members, Member{
			Address: Address(fmt.Sprintf("10.%d.%d.1:1", i/200, i%200)), Domain: state.FailureDomain(fmt.Sprint("z", i%domains)), Incarnation: 1, Heartbeats: 1,
		})
	}
	var rosters []*Roster
	for i := range min(daemons, 40) { // some are enough to draw from
		r := NewRoster(members[i], nil)
		r.Observe(slices.Delete(slices.Clone(members), i, i+1), now)
		rosters = append(rosters, r)
	}
	return members, rosters
}

// TestRecordsAreFoundAfterKills guards against records that too many daemons can't find when a part of
// the fleet is killed at once, so that its rosters still name those daemons, or while datagrams are lost.
// At least half of them must be found, also by daemons of other failure domains.
func TestRecordsAreFoundAfterKills(t *testing.T) {
	const records = 2000
	now := time.Unix(1000, 0)
	for _, daemons := range []int{8, 34, 300, 986} {
		members, rosters := holderFleet(daemons, min(12, 3+daemons/80), now)
		for _, c := range []struct{ killed, lost, want float64 }{{0, 0, 1}, {0, .1, .99}, {.2, .1, .95}, {.45, .1, .75}, {.55, .1, .6}} {
			rng := rand.New(rand.NewPCG(uint64(daemons), uint64(100*c.killed)))
			found, bytes := 0, 0
			for range records {
				key := rng.Uint64()
				killed := make(map[Address]bool)
				for _, m := range members {
					killed[m.Address] = rng.Float64() < c.killed
				}
				writer, reader := rosters[rng.IntN(len(rosters))], rosters[rng.IntN(len(rosters))]
				killed[reader.self.Address] = false
				kept := make(map[Address]bool)
				for _, a := range writer.Holders(key, now) {
					kept[a] = a == writer.self.Address || rng.Float64() >= c.lost
					bytes++
				}
				kept[writer.self.Address] = true
				ok := slices.ContainsFunc(reader.Holders(key, now), func(a Address) bool {
					isAnswered := a == reader.self.Address || rng.Float64() >= c.lost*c.lost // asked twice
					return kept[a] && !killed[a] && isAnswered
				})
				if ok {
					found++
				}
			}
			if share := float64(found) / records; share < c.want {
				t.Errorf("%d daemons, %.2f killed, %.2f of the datagrams lost: %.3f of the records are found, want %.2f", daemons, c.killed, c.lost, share, c.want)
			}
			if n := float64(bytes) / records; n > holderDomains+1 {
				t.Errorf("%d daemons: a record has %.1f holders, want at most %d", daemons, n, holderDomains+1)
			}
		}
	}
}

// TestHoldersOfACutOffDomain guards against a failure domain whose daemons, cut off from the others, do
// not find the records of their own streams.
func TestHoldersOfACutOffDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, daemons := range []int{8, 34, 300, 986} {
		_, rosters := holderFleet(daemons, 6, now)
		for key := range uint64(200) {
			writer := rosters[key%uint64(len(rosters))]
			for _, reader := range rosters {
				if reader.self.Domain != writer.self.Domain {
					continue
				}
				own := func(r *Roster) []Address {
					return slices.DeleteFunc(r.Holders(key, now), func(a Address) bool {
						return a != r.self.Address && r.members[a].Domain != r.self.Domain
					})
				}
				if !slices.Equal(own(writer), own(reader)) || len(own(reader)) == 0 {
					t.Fatalf("%d daemons: %s records in its domain at %v, %s asks %v", daemons, writer.self.Address, own(writer), reader.self.Address, own(reader))
				}
			}
		}
	}
}

// TestHoldersAreNotLeaving guards against records at daemons that shut down.
func TestHoldersAreNotLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	members, rosters := holderFleet(8, 3, now)
	leaving := members[5]
	leaving.Leaving, leaving.Heartbeats = true, 2
	rosters[0].Observe([]Member{leaving}, now)
	for key := range uint64(200) {
		if slices.Contains(rosters[0].Holders(key, now), leaving.Address) {
			t.Fatal("a daemon that shuts down holds a record")
		}
	}
}

// TestRandomElder guards against a daemon that asks peers which have just started too for what only older ones know.
func TestRandomElder(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	members, rosters := holderFleet(200, 3, now)
	r := rosters[0]
	if _, ok := NewRoster(members[0], nil).RandomElder(now, rng, ""); ok {
		t.Error("a daemon that knows no other has an elder")
	}
	for i := range members {
		if i != 77 {
			members[i].Incarnation = 5
		}
	}
	r.Observe(members[1:], now)
	asked, last := 0, Address("")
	for last != members[77].Address && asked < 200 {
		last, _ = r.RandomElder(now, rng, last)
		asked++
	}
	if asked > 50 {
		t.Errorf("the only member that is older was not asked among the first %d", asked)
	}
	_, rosters = holderFleet(3, 3, now)
	first, _ := rosters[0].RandomElder(now, rng, "")
	if second, ok := rosters[0].RandomElder(now, rng, first); !ok || second == first {
		t.Errorf("asks %s again, after it did not know", second)
	}
}
