package coordination_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
)

var _ = Describe("ChatKeyOf", func() {
	It("differs when a byte moves between fields", func() {
		Expect(coordination.ChatKeyOf("ab", "c", nil)).NotTo(Equal(coordination.ChatKeyOf("a", "bc", nil)))
	})
})

var _ = Describe("HybridClock", func() {
	It("stamps an effect after its cause although the local clock is behind", func() {
		var ahead, behind coordination.HybridClock
		cause := ahead.Next(epoch.Add(5 * time.Second))
		behind.Observe(epoch, cause)
		Expect(behind.Next(epoch).Compare(cause)).To(BeNumerically(">", 0))
	})
	It("limits the influence of a wrong remote clock", func() {
		var c coordination.HybridClock
		c.Observe(epoch, coordination.Stamp{Wall: epoch.Add(24 * time.Hour).UnixNano()})
		Expect(c.Next(epoch).Wall).To(BeNumerically("<=", epoch.Add(coordination.MaxStampLead).UnixNano()))
	})
	It("orders a merged timeline by causality", func() {
		var a, b coordination.HybridClock
		first := coordination.TimelineEvent{Stamp: a.Next(epoch.Add(time.Minute)), Daemon: "a", Text: "cause"}
		b.Observe(epoch, first.Stamp)
		second := coordination.TimelineEvent{Stamp: b.Next(epoch), Daemon: "b", Text: "effect"}
		merged := coordination.MergeTimelines([]coordination.TimelineEvent{second}, []coordination.TimelineEvent{first})
		Expect(merged).To(Equal([]coordination.TimelineEvent{first, second}))
	})
})

var _ = Describe("Ring", func() {
	It("keeps the newest events", func() {
		r := coordination.NewRing(2)
		for _, text := range []string{"a", "b", "c"} {
			r.Add(coordination.TimelineEvent{Text: text})
		}
		Expect(r.Events()).To(HaveLen(2))
		Expect(r.Events()[0].Text).To(Equal("b"))
	})
})
