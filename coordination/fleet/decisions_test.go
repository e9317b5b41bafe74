package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// TestAssembler simulates an upstream that repeats, loses, delays and mixes chunks and
// fails at any point, and a relay that resumes when required. The forwarded chunks must
// always be a prefix of the response, and complete only at its end.
func TestAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 12
		var asm fleet.Assembler
		if asm.Accept(fleet.Chunk{Stream: "s", Seq: 1}) != fleet.Forward {
			t.Fatal("the first chunk was not forwarded")
		}
		next, forwarded := uint64(2), uint64(1)
		for range 200 {
			c := fleet.Chunk{Stream: "s", Seq: next}
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0: // a late chunk
				c.Seq = uint64(rapid.IntRange(1, int(next)).Draw(t, "late"))
			case 1: // chunks are lost
				c.Seq = next + uint64(rapid.IntRange(1, 4).Draw(t, "lost"))
			case 2: // a chunk of another stream
				c.Stream = "other"
			case 3: // a number is missing
				c.Seq = 0
			}
			c.Final = c.Seq == total
			switch asm.Accept(c) {
			case fleet.Forward:
				if c.Stream != "s" || c.Seq != forwarded+1 {
					t.Fatalf("chunk %d of %q was forwarded after %d", c.Seq, c.Stream, forwarded)
				}
				forwarded++
				next = forwarded + 1
			case fleet.Missing:
				if _, after, ok := asm.Resumable(); ok && after != forwarded {
					t.Fatalf("resume after %d, but %d were forwarded", after, forwarded)
				}
				next = forwarded + 1
			case fleet.Drop:
			}
			if asm.IsComplete() != (forwarded == total) {
				t.Fatalf("Whole is %v after %d of %d", asm.IsComplete(), forwarded, total)
			}
		}
	})
}

var drawReport = rapid.Custom(func(t *rapid.T) fleet.Report {
	return fleet.Report{
		ID:          "e",
		Incarnation: state.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		State:       state.MemberState(rapid.IntRange(1, 3).Draw(t, "state")),
		Load:        state.Load(rapid.IntRange(0, 3).Draw(t, "load")),
		Admission:   state.Admission(rapid.IntRange(0, 3).Draw(t, "gate")),
		Seq:         uint64(rapid.IntRange(0, 3).Draw(t, "seq")),
	}
})

func TestReportMergeIsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawReport.Draw(t, "a"), drawReport.Draw(t, "b"), drawReport.Draw(t, "c")
		if a.Merge(b) != b.Merge(a) {
			t.Fatalf("not commutative: %+v, %+v", a, b)
		}
		if a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Fatalf("not associative: %+v, %+v, %+v", a, b, c)
		}
		if ab := a.Merge(b); ab.Merge(b) != ab || ab.Merge(a) != ab {
			t.Fatalf("not idempotent: %+v, %+v", a, b)
		}
		if ab := a.Merge(b); ab.Incarnation == a.Incarnation && ab.State < a.State {
			t.Fatalf("state went back: %+v, %+v", a, b)
		}
	})
}

// poolOf returns a pool of n engines with full admission.
func poolOf(n int) *state.Pool {
	p := &state.Pool{}
	for i := range n {
		id := fmt.Sprintf("engine-%d", i)
		p.Candidates = append(p.Candidates, state.Candidate{ID: state.UpstreamID(id), Hash: coordination.Hash(id), Admission: state.AdmitAll})
	}
	return p
}

func TestChooseMovesFewChats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := poolOf(rapid.IntRange(2, 40).Draw(t, "engines"))
		i := rapid.IntRange(0, len(p.Candidates)-1).Draw(t, "engine")
		smaller := &state.Pool{Candidates: append(append([]state.Candidate{}, p.Candidates[:i]...), p.Candidates[i+1:]...)}
		key := state.ChatKey(rapid.Uint64().Draw(t, "chat"))
		before, _ := fleet.Choose(p, key, nil)
		after, _ := fleet.Choose(smaller, key, nil)
		if before.ID != p.Candidates[i].ID && before.ID != after.ID {
			t.Fatal("a chat moved although its home was not removed")
		}
	})
}

var _ = Describe("Choose", func() {
	share := func(p *state.Pool, id state.UpstreamID) float64 {
		n := 0
		const chats = 20_000
		for k := range chats {
			c, _ := fleet.Choose(p, state.ChatKey(coordination.Hash(fmt.Sprint(k))), nil)
			if c.ID == id {
				n++
			}
		}
		return float64(n) / chats
	}
	It("spreads chats evenly", func() {
		Expect(share(poolOf(10), "engine-3")).To(BeNumerically("~", 0.1, 0.01))
	})
	It("sends away the fraction of chats that the admission excludes", func() {
		p := poolOf(10)
		p.Candidates[3].Admission = state.AdmitAll / 2
		Expect(share(p, "engine-3")).To(BeNumerically("~", 0.05, 0.01))
	})
	It("chooses the highest admission if no candidate admits the chat", func() {
		p := poolOf(3)
		for i := range p.Candidates {
			p.Candidates[i].Admission = 0
		}
		p.Candidates[1].Admission = 1
		c, ok := fleet.Choose(p, 7, nil)
		Expect(ok).To(BeTrue())
		Expect(c.ID).To(Equal(state.UpstreamID("engine-1")))
	})
	It("reports that all candidates are avoided", func() {
		_, ok := fleet.Choose(poolOf(1), 7, []state.UpstreamID{"engine-0"})
		Expect(ok).To(BeFalse())
	})
	It("does not allocate", func() {
		p := poolOf(190)
		Expect(testing.AllocsPerRun(100, func() { fleet.Choose(p, 7, nil) })).To(BeZero())
	})
})

var _ = Describe("NextAdmission", func() {
	It("decreases under load and recovers", func() {
		g := state.AdmitAll
		for range 60 {
			g = fleet.NextAdmission(g, 20_000, 5_000, 1.25)
		}
		Expect(g).To(BeNumerically("<", state.AdmitAll/4))
		for range 60 {
			g = fleet.NextAdmission(g, 1_000, 5_000, 1.25)
		}
		Expect(g).To(Equal(state.AdmitAll))
	})
	It("does not limit a load within the slack", func() {
		Expect(fleet.NextAdmission(state.AdmitAll, 1_000, 10, 1.25)).To(Equal(state.AdmitAll))
	})
})

var _ = Describe("RetryBudget", func() {
	It("bounds retries to a tenth of the traffic under total outage", func() {
		b := fleet.NewRetryBudget()
		retries := 0
		const requests = 10_000
		for range requests {
			b.Earn()
			for range 2 {
				if b.Spend() {
					retries++
				}
			}
		}
		Expect(float64(requests+retries) / requests).To(BeNumerically("<=", 1.102))
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 190, 1000, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := poolOf(n)
			b.ReportAllocs()
			for i := range b.N {
				fleet.Choose(p, state.ChatKey(i), nil)
			}
		})
	}
}

func BenchmarkLedgerMemory(b *testing.B) {
	l := fleet.NewLedger(1 << 40)
	b.ReportAllocs()
	for i := range b.N {
		k := fleet.LedgerKey{Workspace: "city-corp", Service: "gate", Key: fmt.Sprintf("hwt1.%060d.%022d", i, i)}
		l.Begin(epoch, k, fleet.Fingerprint{}, time.Hour)
		l.Finish(k, coordination.MayHaveRun{}, nil)
	}
}
