package routing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
)

// numberedReplica returns a distinct replica for each number.
func numberedReplica(n int) *routing.Replica {
	r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(rune('a' + n))})
	return &r
}

var _ = Describe("Crashes", func() {
	const content, workspace = routing.ContentKey(7), routing.WorkspaceName("w")
	var c *routing.Crashes
	BeforeEach(func() { c = routing.NewCrashes() })
	crash := func(of routing.ContentKey, replica int, at time.Time) bool {
		return c.ReportCrash(of, workspace, numberedReplica(replica), at)
	}
	takeAll := func(now time.Time) []routing.CrashReport { return c.TakeReports(1000, now) }

	It("quarantines a content permanently after the third crash", func() {
		Expect(crash(content, 0, epoch)).To(BeFalse())
		Expect(crash(content, 1, epoch)).To(BeFalse())
		Expect(c.Quarantined(content, epoch)).To(BeFalse())
		Expect(crash(content, 2, epoch)).To(BeTrue())
		for _, after := range []time.Duration{0, time.Minute, 1000 * time.Hour} {
			c.Forget(epoch.Add(after))
			Expect(c.Quarantined(content, epoch.Add(after))).To(BeTrue())
		}
		Expect(c.Quarantined(content+1, epoch)).To(BeFalse())
	})

	It("counts the crash of one replica once, whichever daemon saw it and whenever the report arrives", func() {
		for i := range 5 {
			crash(content, 0, epoch.Add(time.Duration(i)*time.Second))
		}
		crash(content, 1, epoch)
		Expect(c.Quarantined(content, epoch)).To(BeFalse())
	})

	It("clears a content of earlier crashes, but not of later ones, after a complete response", func() {
		for i := range 4 {
			crash(content, i, epoch)
		}
		c.Clear(content, epoch.Add(time.Second))
		Expect(c.Quarantined(content, epoch.Add(time.Second))).To(BeFalse())
		Expect(crash(content, 5, epoch.Add(500*time.Millisecond))).To(BeFalse(), "reported late")
		for i := range 3 {
			crash(content, 6+i, epoch.Add(2*time.Second))
		}
		Expect(c.Quarantined(content, epoch.Add(2*time.Second))).To(BeTrue())
	})

	It("records nothing for contents without a crash", func() {
		c.Clear(content, epoch)
		crash(content+1, 0, epoch)
		c.Clear(content, epoch)
		reports, _ := c.All(0, 100, epoch)
		Expect(reports).To(HaveLen(1))
		Expect(c.Clear(content, epoch)).To(BeFalse())
	})

	It("clears a content that an operator releases, and quarantines it again after three more crashes", func() {
		for i := range 3 {
			crash(content, i, epoch)
		}
		Expect(c.Clear(content, epoch.Add(time.Hour))).To(BeTrue())
		Expect(c.Quarantined(content, epoch.Add(time.Hour))).To(BeFalse())
		Expect(c.AllQuarantined(epoch)).To(BeEmpty())
		for i := range 3 {
			crash(content, 10+i, epoch.Add(2*time.Hour))
		}
		Expect(c.Quarantined(content, epoch.Add(2*time.Hour))).To(BeTrue())
	})

	It("lists quarantined contents with their replicas and refusals", func() {
		for i := range 3 {
			crash(content, i, epoch.Add(time.Duration(i)*time.Second))
		}
		crash(content+1, 0, epoch)
		later := epoch.Add(12 * time.Second)
		c.Quarantined(content, later)
		c.Quarantined(content, later)
		Expect(c.AllQuarantined(later)).To(ConsistOf(routing.QuarantinedContent{
			Content: content, Caller: routing.NewCallerKey(workspace), For: 10 * time.Second, Refused: 2,
			Replicas: []routing.LoadKey{numberedReplica(0).LoadKey(), numberedReplica(1).LoadKey(), numberedReplica(2).LoadKey()},
		}))
	})

	It("forwards each new report once, and signals that reports are available", func() {
		crash(content, 0, epoch)
		Expect(c.Waiting()).To(Receive())
		now := epoch.Add(time.Second)
		reports := takeAll(now)
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Age).To(Equal(time.Second))
		c.Observe(reports, now)
		Expect(c.Waiting()).NotTo(Receive())
		Expect(takeAll(now)).To(BeEmpty())
		c.Clear(content, now)
		Expect(takeAll(now)).To(ConsistOf(HaveField("Clears", true)))
		c.Observe([]routing.CrashReport{{Content: content, Clears: true}}, now.Add(20*time.Millisecond))
		Expect(takeAll(now)).To(BeEmpty(), "the same clearance through another daemon")
	})

	It("sends a bounded number of reports a second, those of the contents with the most crashes first", func() {
		for i := range 100 {
			crash(routing.ContentKey(1000+i), 0, epoch)
		}
		crash(content, 0, epoch)
		crash(content, 1, epoch)
		first := takeAll(epoch.Add(time.Second))
		Expect(first).To(HaveLen(30))
		Expect(first[0].Content).To(Equal(content))
		sent := len(first)
		for i := range 5 {
			sent += len(takeAll(epoch.Add(time.Duration(i+2) * time.Second)))
		}
		Expect(sent).To(Equal(102), "the queued reports are sent later")
	})

	It("stays bounded, and evicts a caller's own contents and not another's", func() {
		for i := range 3 {
			c.ReportCrash(content, "another", numberedReplica(i), epoch)
		}
		for i := range 5000 {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			for r := range 3 {
				crash(routing.ContentKey(1000+i), r, now)
			}
		}
		Expect(c.AllQuarantined(epoch)).To(HaveLen(2000))
		Expect(c.Quarantined(content, epoch.Add(time.Hour))).To(BeTrue())
		Expect(c.Quarantined(1000, epoch.Add(time.Hour))).To(BeFalse(), "the oldest was evicted")
		Expect(c.Quarantined(5999, epoch.Add(time.Hour))).To(BeTrue())
	})

	It("removes only contents that were cleared long ago", func() {
		crash(content, 0, epoch)
		crash(content+1, 0, epoch)
		c.Clear(content, epoch)
		c.Forget(epoch.Add(time.Hour))
		reports, _ := c.All(0, 100, epoch)
		Expect(reports).To(ConsistOf(HaveField("Content", content+1)))
	})

	// A daemon that was cut off when a content was released sends the crashes that it still knows to the others.
	It("keeps a release through a cut of less than a minute", func() {
		other := routing.NewCrashes()
		for r := range 3 {
			crash(content, r, epoch)
		}
		exchange := func(from, to *routing.Crashes, now time.Time) {
			reports, _ := from.All(0, 100, now)
			to.Observe(reports, now)
		}
		exchange(c, other, epoch)
		c.Clear(content, epoch.Add(time.Second))
		after := epoch.Add(55 * time.Second)
		c.Forget(after)
		other.Forget(after)
		exchange(other, c, after)
		Expect(c.Quarantined(content, after)).To(BeFalse())
		exchange(c, other, after)
		Expect(other.Quarantined(content, after)).To(BeFalse())
	})

	// The daemon that was cut off would otherwise quarantine the content again at all daemons, or keep its own
	// quarantine.
	DescribeTable("keeps a release through a cut of any length", func(cut time.Duration) {
		other := routing.NewCrashes()
		for r := range 3 {
			crash(content, r, epoch)
		}
		reports, _ := c.All(0, 100, epoch)
		other.Observe(reports, epoch)
		c.Clear(content, epoch.Add(time.Second))
		now := epoch
		for ; now.Before(epoch.Add(cut)); now = now.Add(cut / 10) {
			c.Forget(now)
			other.Forget(now)
		}
		reports, _ = other.All(0, 100, now)
		Expect(reports).To(HaveLen(3))
		Expect(c.Observe(reports, now)).To(BeEmpty())
		Expect(c.Quarantined(content, now)).To(BeFalse(), "the daemon that knows of the release")
		replies := c.Refute(reports, now)
		Expect(replies).To(HaveLen(1), "one reply for three crashes")
		other.Observe(replies, now)
		Expect(other.Quarantined(content, now)).To(BeFalse(), "the daemon that was cut off")
		Expect(other.TakeReports(10, now)).To(ContainElement(HaveField("Clears", true)), "for others beyond the cut")
		Expect(other.Refute(replies, now)).To(BeEmpty(), "a clearance is no crash")
		Expect(c.Refute([]routing.CrashReport{{Content: content, Replica: 9}}, now)).To(BeEmpty(), "a crash after the release")
		for r := range 3 {
			crash(content, 10+r, now)
		}
		Expect(c.Quarantined(content, now)).To(BeTrue(), "three crashes after the release")
	},
		Entry("90 s", 90*time.Second), Entry("an hour", time.Hour), Entry("two days", 48*time.Hour))

	It("does not reply to crashes that cross a clearance on its way", func() {
		crash(content, 0, epoch)
		reports, _ := c.All(0, 100, epoch)
		c.Clear(content, epoch)
		Expect(c.Refute(reports, epoch)).To(BeEmpty())
	})

	// The crashes that it clears may be known to daemons that get it only from this one.
	It("forwards a later clearance of a content whose earlier one is kept, and the earlier one only once", func() {
		crash(content, 0, epoch)
		c.Clear(content, epoch)
		takeAll(epoch)
		now := epoch.Add(2 * time.Minute)
		c.Forget(now)
		c.Observe([]routing.CrashReport{{Content: content, Clears: true, Age: 2*time.Minute - 100*time.Millisecond}}, now)
		Expect(takeAll(now)).To(BeEmpty())
		c.Observe([]routing.CrashReport{{Content: content, Clears: true, Age: time.Second}}, now)
		Expect(takeAll(now)).To(ConsistOf(HaveField("Clears", true)))
	})

	// Replicas that crash in series leave a clearance for each request that was in flight.
	It("keeps the release of a quarantined content in bounded memory", func() {
		for r := range 3 {
			crash(content, r, epoch)
		}
		crash(content+1, 0, epoch)
		known, _ := c.All(0, 100, epoch)
		c.Clear(content, epoch)
		c.Clear(content+1, epoch)
		now := epoch.Add(2 * time.Minute)
		for i := range 20_000 {
			now = now.Add(100 * time.Millisecond)
			crash(routing.ContentKey(1000+i), 5, now)
			c.Clear(routing.ContentKey(1000+i), now)
			if i%10 == 0 {
				c.Forget(now)
			}
		}
		c.Forget(now.Add(2 * time.Minute))
		Expect(c.Clearances()).To(Equal(4000))
		for i := range known {
			known[i].Age = now.Sub(epoch)
		}
		Expect(c.Refute(known, now)).To(ConsistOf(HaveField("Content", content)), "the others are the oldest")
		Expect(c.Observe(known, now)).To(BeEmpty())
	})

	It("returns everything in pages, each content once", func() {
		for i := range 100 {
			for r := range 3 {
				crash(routing.ContentKey(100+i), r, epoch)
			}
		}
		seen := make(map[routing.ContentKey]int)
		var after routing.ContentKey
		for {
			reports, last := c.All(after, 50, epoch.Add(time.Second))
			Expect(len(reports)).To(BeNumerically("<=", 50))
			for _, r := range reports {
				seen[r.Content]++
			}
			if after = last; last == 0 {
				break
			}
		}
		Expect(seen).To(HaveLen(100))
		for _, n := range seen {
			Expect(n).To(Equal(3))
		}
	})

	It("repeats quarantined contents permanently, and others for a minute", func() {
		crash(content, 0, epoch)
		for i := range 3 {
			crash(content+1, i, epoch)
		}
		reports, _ := c.All(0, 100, epoch.Add(59*time.Second))
		Expect(reports).To(HaveLen(4))
		reports, _ = c.All(0, 100, epoch.Add(time.Hour))
		Expect(reports).To(HaveLen(3))
		Expect(reports).To(HaveEach(HaveField("Content", content+1)))
		crash(content, 1, epoch.Add(time.Hour))
		Expect(crash(content, 2, epoch.Add(2*time.Hour))).To(BeTrue(), "it is still recorded")
	})

	It("does nothing if nil, or for the zero content", func() {
		var none *routing.Crashes
		Expect(none.ReportCrash(content, workspace, numberedReplica(0), epoch)).To(BeFalse())
		Expect(none.Quarantined(content, epoch)).To(BeFalse())
		none.Clear(content, epoch)
		Expect(crash(0, 0, epoch)).To(BeFalse(), "the zero content")
		Expect(crash(0, 1, epoch)).To(BeFalse())
		Expect(crash(0, 2, epoch)).To(BeFalse())
	})
})

// TestCrashReportsMergeInAnyOrder checks that the state of a daemon depends only on the set of
// reports received, not on their order or number of copies.
func TestCrashReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []routing.CrashReport
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			r := routing.CrashReport{
				Content: routing.ContentKey(rapid.IntRange(1, 3).Draw(t, "content")), Caller: 1,
				Age: time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second,
			}
			if r.Clears = rapid.IntRange(0, 4).Draw(t, "clears") == 0; !r.Clears {
				r.Replica = routing.LoadKey(rapid.IntRange(1, 5).Draw(t, "replica"))
				r.Age = time.Duration(r.Replica) * 3 * time.Second // a replica crashes once
			}
			reports = append(reports, r)
		}
		a, b := routing.NewCrashes(), routing.NewCrashes()
		a.Observe(reports, epoch)
		again := append(slices.Clone(reports), reports...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		for _, r := range again {
			b.Observe([]routing.CrashReport{r}, epoch)
			if rapid.Bool().Draw(t, "clearances are no longer repeated") {
				b.Forget(epoch.Add(2 * time.Minute))
			}
		}
		for content := routing.ContentKey(1); content <= 3; content++ {
			if a.Quarantined(content, epoch) != b.Quarantined(content, epoch) {
				t.Fatalf("content %d: quarantined %t and %t", content, a.Quarantined(content, epoch), b.Quarantined(content, epoch))
			}
		}
	})
}
