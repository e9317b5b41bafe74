package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// checkAtMostOnce searches for a schedule in which a key runs twice.
func checkAtMostOnce(w strategy) func(*rapid.T) {
	return func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ow := newOnceWorld(w, 3, rng)
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		var keys []string
		for range 120 {
			ow.step(intn, rng, &keys)
			if ow.maxRuns() > 1 {
				t.Fatalf("a key ran %d times", ow.maxRuns())
			}
		}
	}
}

func TestTicketRunsAtMostOnce(t *testing.T) { rapid.Check(t, checkAtMostOnce(strategyTicket)) }

func TestOwnerRunsAtMostOnce(t *testing.T) { rapid.Check(t, checkAtMostOnce(strategyOwner)) }

// runSchedules simulates a fixed set of random schedules. It returns how many keys ran
// more than once, the number of keys, and the fraction of requests that were refused.
func runSchedules(w strategy, schedules, steps int) (double, total int, refused float64) {
	asked, refusals := 0, 0
	for s := range schedules {
		rng := rand.New(rand.NewPCG(uint64(s), 7))
		ow := newOnceWorld(w, 4, rng)
		var keys []string
		for range steps {
			ow.step(rng.IntN, rng, &keys)
		}
		for _, n := range ow.runs {
			if n > 1 {
				double++
			}
		}
		total += len(keys)
		asked += ow.asked
		refusals += ow.refused
	}
	return double, total, float64(refusals) / float64(max(asked, 1))
}

// The incomplete strategies must fail in the same simulation, or it proves nothing.
var _ = Describe("requests that must not be repeated", func() {
	DescribeTable("in a world that breaks naive ways", func(w strategy, safe bool) {
		double, total, _ := runSchedules(w, 300, 300)
		Expect(total).To(BeNumerically(">", 1000))
		if safe {
			Expect(double).To(BeZero())
			return
		}
		Expect(double).To(BeNumerically(">", 0))
	},
		Entry("a ledger in each daemon", strategyLocal, false),
		Entry("an owner without a grace period", strategyNoGrace, false),
		Entry("an owner that trusts a list of any age", strategyNoLease, false),
		Entry("an owner that accepts delayed requests", strategyNoChallenge, false),
		Entry("the owner", strategyOwner, true),
		Entry("the ticket", strategyTicket, true),
	)
})

func BenchmarkOnceWays(b *testing.B) {
	for name, w := range map[string]strategy{
		"local": strategyLocal, "keeper-no-quiet": strategyNoGrace, "keeper-no-lease": strategyNoLease,
		"keeper-no-challenge": strategyNoChallenge, "keeper": strategyOwner, "ticket": strategyTicket,
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				double, total, refused := runSchedules(w, 300, 300)
				b.ReportMetric(1000*float64(double)/float64(total), "double/1000keys")
				b.ReportMetric(100*refused, "%refused")
			}
		})
	}
}

var _ = Describe("Ledger", func() {
	key := fleet.LedgerKey{Workspace: "w", Service: "s", Key: "k"}
	var l *fleet.Ledger
	BeforeEach(func() { l = fleet.NewLedger(10_000) })
	begin := func(at time.Duration) fleet.KeyDecision {
		return l.Begin(epoch.Add(at), key, fleet.Fingerprint{1}, time.Minute)
	}

	It("starts a key once and lets repeats wait, then replays", func() {
		Expect(begin(0)).To(Equal(fleet.Start{}))
		wait, ok := begin(time.Second).(fleet.Wait)
		Expect(ok).To(BeTrue())
		answer := &fleet.StoredAnswer{Status: 201, Body: []byte("pass")}
		l.Finish(key, coordination.Answered{Status: 201}, answer)
		Expect(wait.First.Done).To(BeClosed())
		Expect(begin(2 * time.Second)).To(Equal(fleet.Replay{Answer: answer}))
	})
	It("refuses a different request with the same key", func() {
		begin(0)
		Expect(l.Begin(epoch, key, fleet.Fingerprint{2}, time.Minute)).To(Equal(fleet.Conflict{}))
	})
	It("lets a key start again only after it was surely not run", func() {
		begin(0)
		l.Finish(key, coordination.NotRun{}, nil)
		Expect(begin(0)).To(Equal(fleet.Start{}))
		l.Finish(key, coordination.MayHaveRun{}, nil)
		Expect(begin(0)).To(BeAssignableToTypeOf(fleet.Deny{}))
	})
	It("reports to waiting repeats that the first attempt was not run, and starts none of them", func() {
		begin(0)
		wait := begin(0).(fleet.Wait)
		l.Finish(key, coordination.NotRun{Reason: coordination.ReasonConnect}, nil)
		Expect(wait.First.Done).To(BeClosed())
		Expect(wait.First.Outcome).To(Equal(coordination.NotRun{Reason: coordination.ReasonConnect}))
	})
	It("keeps a running key beyond its window", func() {
		begin(0)
		Expect(begin(3 * time.Minute)).To(BeAssignableToTypeOf(fleet.Wait{}))
	})
	It("refuses new keys when it is full and forgets none", func() {
		for i := range 100 {
			k := fleet.LedgerKey{Key: string(rune('a' + i))}
			if l.Begin(epoch, k, fleet.Fingerprint{}, time.Minute) == (fleet.Start{}) {
				l.Finish(k, coordination.MayHaveRun{}, nil)
			}
		}
		Expect(l.Bytes()).To(BeNumerically("<=", 10_000))
		Expect(l.Len()).To(BeNumerically("<", 100))
		Expect(begin(0)).To(Equal(fleet.Deny{Outcome: coordination.NotRun{Reason: coordination.ReasonLedgerFull, RetryAfter: 2 * time.Second}}))
		Expect(begin(2 * time.Minute)).To(Equal(fleet.Start{}))
	})
})

var _ = Describe("Ticket", func() {
	issuer := fleet.NewTicketIssuer("d1", 7, []byte("secret"))
	ticket := issuer.Issue("w", "gate", time.Minute, "nonce")

	admit := func(i *fleet.TicketIssuer, w state.WorkspaceID, age time.Duration) (coordination.Outcome, error) {
		t, err := fleet.ParseTicket(ticket)
		Expect(err).NotTo(HaveOccurred())
		_, refusal, err := i.Admit(t, w, "gate", age)
		return refusal, err
	}
	It("is accepted by the incarnation that issued it", func() {
		refusal, err := admit(issuer, "w", time.Second)
		Expect(refusal).To(BeNil())
		Expect(err).NotTo(HaveOccurred())
	})
	It("is refused by another incarnation, as may-have-run", func() {
		refusal, _ := admit(fleet.NewTicketIssuer("d1", 8, []byte("secret")), "w", time.Second)
		Expect(refusal).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
	})
	It("is refused by an incarnation of the same number with another secret", func() {
		_, err := admit(fleet.NewTicketIssuer("d1", 7, []byte("other")), "w", time.Second)
		Expect(err).To(MatchError(fleet.ErrTicketForged))
	})
	It("is refused in another workspace", func() {
		_, err := admit(issuer, "w2", time.Second)
		Expect(err).To(MatchError(fleet.ErrTicketForged))
	})
	It("is refused when it has expired", func() {
		refusal, _ := admit(issuer, "w", time.Minute)
		Expect(refusal).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
	})
})

func FuzzParseTicket(f *testing.F) {
	f.Add("hwt1.ZDF8N3w2MDAwMHxub25jZQ.abc")
	f.Add("hwt1..")
	f.Add("key")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, err := fleet.ParseTicket(key)
		if err == nil && ticket.Expires < 0 {
			t.Fatalf("ticket %q expires before it begins", key)
		}
	})
}
