package protocol_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
)

// Expected deployment size in two years.
const (
	futureDaemons = 930
	futureEngines = 4500
	futureDomains = 11
	futureRegions = 5
	futureModels  = 24
)

// futureConfig returns a configuration file with the given number of workspaces.
// Two files with different comments differ in one line.
func futureConfig(workspaces int, comment string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version: 5000 # %s\nregions:\n", comment)
	for r := range futureRegions {
		fmt.Fprintf(&b, "  - {name: region-%d, domains: [", r)
		for d := r; d < futureDomains; d += futureRegions {
			fmt.Fprintf(&b, "fd-%d, ", d)
		}
		b.WriteString("]}\n")
	}
	b.WriteString("models:\n")
	for m := range futureModels {
		fmt.Fprintf(&b, "  - {name: model-%d, adapters: [adapter-%d-a, adapter-%d-b]}\n", m, m, m)
	}
	b.WriteString("engines:\n")
	for m := range futureModels {
		fmt.Fprintf(&b, "  - {name: group-%d, models: [model-%d]}\n", m, m)
	}
	b.WriteString("services:\n  - {name: gate, routes: [{prefix: /passes, repeat: never}]}\nworkspaces:\n")
	for w := range workspaces {
		key := state.HashKey(fmt.Sprint(w))
		fmt.Fprintf(&b, "  - name: workspace-%d\n    keys: [%q]\n    models: [model-%d, adapter-%d-a]\n    services: [gate]\n    share: %d\n", w, key, w%futureModels, w%futureModels, w%40+1)
	}
	return b.Bytes()
}

// futureList returns a member list of the expected size. The member whose index is
// the revision is leaving, so that successive revisions differ.
func futureList(revision int) []byte {
	var members []state.Member
	for i := range futureDaemons + futureEngines {
		m := state.Member{ID: fmt.Sprintf("vm-%06d", i), Kind: state.KindDaemon, Domain: state.FailureDomain(fmt.Sprintf("fd-%d", i%futureDomains)), Address: fmt.Sprintf("10.%d.%d.%d:8081", i>>16, i>>8&255, i&255), Incarnation: 1, State: state.Live}
		if i >= futureDaemons {
			m.Kind, m.Group = state.KindEngine, fmt.Sprintf("group-%d", i%futureModels)
		}
		if i == revision {
			m.State = state.Leaving
		}
		members = append(members, m)
	}
	return standin.FormatMemberList(state.ListRevision(revision), members)
}

func BenchmarkParseConfig(b *testing.B) {
	for _, workspaces := range []int{10, 530, 5500} {
		text := futureConfig(workspaces, "x")
		b.Run(fmt.Sprintf("workspaces=%d/KB=%d", workspaces, len(text)/1024), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := state.ParseConfig("f.yaml", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkParseList(b *testing.B) {
	text := futureList(1)
	b.ReportAllocs()
	b.ReportMetric(float64(len(text))/1024, "KB")
	for range b.N {
		if _, err := protocol.ParseMemberList(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	cfg, err := state.ParseConfig("f.yaml", futureConfig(530, "x"))
	if err != nil {
		b.Fatal(err)
	}
	list, err := protocol.ParseMemberList(futureList(1))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		state.BuildSnapshot(state.Inputs{Config: cfg, Members: list, Domain: "fd-0", Hash: coordination.Hash})
	}
}

// BenchmarkDelta packs and unpacks a change to one line of a configuration and to
// a few entries of a member list.
func BenchmarkDelta(b *testing.B) {
	cases := []struct {
		name      string
		old, next []byte
	}{
		{"config-530", futureConfig(530, "old"), futureConfig(530, "new")},
		{"config-1MB", futureConfig(5500, "old"), futureConfig(5500, "new")},
		{"list", futureList(1), futureList(2)},
	}
	for _, c := range cases {
		oldHead, nextHead := state.HeadOf(1, c.old), state.HeadOf(2, c.next)
		b.Run(c.name+"/pack", func(b *testing.B) {
			for range b.N {
				resp, err := protocol.PackDocument(nextHead, c.next, oldHead, c.old)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(resp.GetData())), "B/delta")
			}
		})
		resp, err := protocol.PackDocument(nextHead, c.next, oldHead, c.old)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(c.name+"/unpack", func(b *testing.B) {
			for range b.N {
				if _, _, err := protocol.UnpackDocument(resp, c.old); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkControlMemory measures the heap that a daemon's control state takes at the
// size expected in two years: four versions of each document, the newest one parsed,
// and a snapshot.
func BenchmarkControlMemory(b *testing.B) {
	for range b.N {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var kept [][]byte
		for i := range 4 {
			kept = append(kept, futureConfig(5500, fmt.Sprint(i)), futureList(i+1))
		}
		cfg, err := state.ParseConfig("f.yaml", kept[6])
		if err != nil {
			b.Fatal(err)
		}
		list, err := protocol.ParseMemberList(kept[7])
		if err != nil {
			b.Fatal(err)
		}
		s := state.BuildSnapshot(state.Inputs{Config: cfg, Members: list, Domain: "fd-0", Hash: coordination.Hash})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(kept)
		runtime.KeepAlive(s)
	}
}
