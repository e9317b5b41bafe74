package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

var epoch = time.Unix(1_000_000, 0)

func table(routes []routing.Route, workspaces ...routing.Workspace) *routing.Table {
	t, err := routing.NewTable(&routing.Config{
		Version: 1, Routes: routes, Workspaces: workspaces,
		Services: []routing.Service{{Name: "llm", Generates: true, CopiesPrompts: true}, {Name: "plain"}},
	})
	Expect(err).NotTo(HaveOccurred())
	return t
}

func shares(names ...routing.ServiceName) []routing.Share {
	var out []routing.Share
	for _, n := range names {
		out = append(out, routing.Share{Service: n, Weight: 1})
	}
	return out
}

var _ = Describe("Table", func() {
	It("matches the longest prefix of the host's routes", func() {
		t := table([]routing.Route{
			{Name: "short", Host: "A.example", Prefix: "/x/", Shares: shares("plain")},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: shares("plain")},
			{Name: "other", Host: "b.example", Prefix: "/", Shares: shares("plain")},
		})
		for path, want := range map[string]string{"/x/y/z": "long", "/x/z": "short", "/x/y": "short"} {
			r, ok := t.Match("a.example", path)
			Expect(ok).To(BeTrue())
			Expect(r.Name).To(Equal(want))
		}
		_, ok := t.Match("a.example", "/y/")
		Expect(ok).To(BeFalse())
	})

	DescribeTable("rejects an invalid route and reports the reason", func(r routing.Route, why string) {
		_, err := routing.NewTable(&routing.Config{Routes: []routing.Route{r}})
		Expect(err).To(MatchError(ContainSubstring(why)))
	},
		Entry("no slash", routing.Route{Name: "r", Prefix: "/x", Shares: shares("s")}, "slash"),
		Entry("no service", routing.Route{Name: "r", Prefix: "/x/"}, "no service"),
		Entry("weight", routing.Route{Name: "r", Prefix: "/", Shares: []routing.Share{{Service: "s", Weight: -1}}}, "negative"),
	)

	It("splits by weight, with the same result in every daemon", func() {
		t := table([]routing.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}})
		r, _ := t.Match("h", "/")
		n := 0
		for i := range uint64(10_000) {
			if r.Service(i) == "b" {
				n++
			}
			Expect(r.Service(i)).To(Equal(r.Service(i)))
		}
		Expect(n).To(BeNumerically("~", 1000, 150))
	})
})

var _ = Describe("Admit", func() {
	closed := routing.Route{Name: "closed", Host: "h", Prefix: "/c/", Shares: shares("plain")}
	open := routing.Route{Name: "open", Host: "h", Prefix: "/o/", Public: true, Shares: shares("plain")}
	workspace := routing.Workspace{Name: "t", Keys: []string{"k1", "k2"}}

	It("does not know what is allowed before a configuration is known", func() {
		for _, v := range []*routing.View{nil, {}} {
			_, d := v.Admit("h", "/c/", "k1")
			Expect(d).To(Equal(routing.NoConfiguration))
		}
	})

	DescribeTable("bounds how long a request may wait for the first configuration", func(left, age, want time.Duration) {
		Expect(routing.ConfigWait(left, age)).To(Equal(want))
	},
		Entry("half of the caller's time", 600*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond),
		Entry("until two seconds after the start", 10*time.Second, 500*time.Millisecond, 1500*time.Millisecond),
		Entry("not at all once the daemon is older", 10*time.Second, 3*time.Second, time.Duration(0)),
	)

	It("requires a key if there are workspaces and the route is not public", func() {
		v := &routing.View{Table: table([]routing.Route{closed, open}, workspace)}
		a, d := v.Admit("h", "/c/x", "k2")
		Expect(d).To(Equal(routing.Admitted))
		Expect(a.Workspace.Name).To(Equal(routing.WorkspaceName("t")))
		_, d = v.Admit("h", "/c/x", "k3")
		Expect(d).To(Equal(routing.UnknownKey))
		a, d = v.Admit("h", "/o/x", "")
		Expect(d).To(Equal(routing.Admitted))
		Expect(a.Workspace).To(BeNil())
		_, d = v.Admit("h", "/z/", "k1")
		Expect(d).To(Equal(routing.NoRoute))
	})
})

// fleet is a placer with a pool of replicas.
type fleet struct {
	placer *routing.Placer
	view   *routing.View
	pool   *routing.Pool
}

func newFleet(service routing.ServiceName, domains ...string) *fleet {
	f := &fleet{
		placer: &routing.Placer{Loads: routing.NewLoads(), Health: routing.NewHealth(), Cache: routing.NewCacheTable()},
		pool:   &routing.Pool{},
	}
	for i, z := range domains {
		f.pool.Ready = append(f.pool.Ready, routing.NewReplica(routing.Replica{
			ID: routing.ReplicaID(fmt.Sprintf("r%d", i)), Service: service, Domain: state.FailureDomain(z), Slots: 6, Address: fmt.Sprintf("10.0.0.%d:1", i),
		}))
	}
	f.view = &routing.View{
		Table:  table([]routing.Route{{Name: "r", Host: "h", Prefix: "/", Shares: shares(service)}}),
		Domain: "z0", Pools: map[routing.ServiceName]*routing.Pool{service: f.pool},
	}
	return f
}

func (f *fleet) remove(id routing.ReplicaID) {
	f.pool.Ready = slices.DeleteFunc(slices.Clone(f.pool.Ready), func(r routing.Replica) bool { return r.ID == id })
}

func (f *fleet) load(r routing.Replica, n int) {
	for range n {
		f.placer.Loads.Begin(r.LoadKey())
	}
}

// serve chooses a replica and records that it has read the prompt.
func (f *fleet) serve(r *routing.Request) routing.Replica {
	t := f.choose(r)
	f.placer.RecordRead(r, &t, epoch)
	return t.Replica
}

func (f *fleet) choose(r *routing.Request, tried ...routing.ReplicaID) routing.Target {
	f.pool.Sort()
	t, ok := f.placer.Choose(f.view, r, routing.Tried{Replicas: tried}, epoch)
	Expect(ok).To(BeTrue())
	return t
}

func sameDomain(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = "z0"
	}
	return out
}

func chat(subject string) *routing.Request {
	return &routing.Request{
		ID: "a", Service: "llm", Model: "m",
		Prompt: []routing.PromptPart{{ID: "system", Tokens: 500}, {ID: subject, Tokens: 5000}, {ID: "own-" + subject, Tokens: 100}},
	}
}

// short returns a request whose prompt is short enough to have several homes.
func short(subject string) *routing.Request {
	r := chat(subject)
	r.Prompt[1].Tokens = 600
	return r
}

var _ = Describe("Placement of prompts", func() {
	It("sends requests that share a prompt to one replica, whatever their unshared part", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.choose(chat("s"))
		other := chat("s")
		other.Prompt[2].ID = "another"
		Expect(f.choose(other).Replica.ID).To(Equal(home.Replica.ID))
	})

	It("guesses that an unannounced prompt is held by the home from before the current home joined", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.choose(chat("s"))
		f.remove(home.Replica.ID)
		Expect(home.Source.ID).To(Equal(f.choose(chat("s")).Replica.ID))
	})

	It("distinguishes models", func() {
		a, b := chat("s"), chat("s")
		b.Model = "m2"
		Expect(a.Key()).NotTo(Equal(b.Key()))
	})

	It("skips an overloaded home and copies the prompt from it", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.serve(chat("s"))
		f.load(home, 30)
		next := f.choose(chat("s"))
		Expect(next.Rank).To(Equal(1))
		Expect(next.Source.ID).To(Equal(home.ID))
		Expect(f.serve(chat("s")).ID).To(Equal(next.Replica.ID), "the same second choice everywhere")
		Expect(f.choose(chat("s")).Source.Address).To(BeEmpty(), "the target already holds the prompt")
	})

	It("counts what peers sent", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.choose(chat("s"))
		f.placer.Loads.Observe("p", []routing.LoadCount{{Replica: home.Replica.LoadKey(), Requests: 30}}, epoch, routing.PeerLoadAge)
		Expect(f.choose(chat("s")).Replica.ID).NotTo(Equal(home.Replica.ID))
		f.placer.Loads.Observe("q", nil, epoch.Add(time.Minute), routing.PeerLoadAge)
		Expect(f.choose(chat("s")).Replica.ID).To(Equal(home.Replica.ID), "old counts are ignored")
	})

	It("forgets what peers sent once it is old, also where no peer sends any more", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.choose(chat("s"))
		f.placer.Loads.Observe("p", []routing.LoadCount{{Replica: home.Replica.LoadKey(), Requests: 30}}, epoch, routing.PeerLoadAge)
		t, ok := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch.Add(time.Minute))
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).To(Equal(home.Replica.ID))
	})

	It("keeps a long prompt where it is cached when a higher-ranked replica joins", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.choose(chat("s")).Replica
		f.remove(home.ID)
		held := f.serve(chat("s"))
		f.pool.Ready = append(f.pool.Ready, home)
		Expect(f.choose(chat("s")).Replica.ID).To(Equal(held.ID))
	})

	It("gives a short prompt a home in each domain of a small fleet, and copies it there from a replica that holds it", func() {
		f := newFleet("llm", "z0", "z0", "z1", "z1", "z1")
		f.view.Domain = "z1"
		there := f.serve(short("s"))
		Expect(there.Domain).To(Equal(state.FailureDomain("z1")))
		f.view.Domain = "z0"
		here := f.choose(short("s"))
		Expect(here.Replica.Domain).To(Equal(state.FailureDomain("z0")))
		Expect(here.Source.ID).To(Equal(there.ID))
		Expect(f.placer.Cache.TakePending(10)).To(HaveLen(1), "a home in a domain is announced")
	})

	It("sends a short prompt to the one of its two homes that holds fewer requests, and copies it from the other", func() {
		f := newFleet("llm", sameDomain(18)...)
		f.view.LargeFleet = true
		first := f.choose(short("s")).Replica
		f.load(first, 1)
		second := f.choose(short("s"))
		Expect(second.Rank).To(Equal(1))
		Expect(second.Source.ID).To(Equal(first.ID), "although the location was not announced")
		f.load(second.Replica, 2)
		Expect(f.choose(short("s")).Replica.ID).To(Equal(first.ID))
	})

	It("prefers the home of its own domain where both hold as many requests", func() {
		f := newFleet("llm", "z0", "z1", "z0", "z1", "z0", "z1")
		f.view.LargeFleet = true
		near := 0
		for i := range 20 {
			f.view.Domain = "none"
			first := f.choose(short(fmt.Sprint(i))).Replica
			second := f.choose(short(fmt.Sprint(i)), first.ID).Replica
			f.view.Domain = "z0"
			want := first
			if first.Domain != "z0" && second.Domain == "z0" {
				want = second
				near++
			}
			Expect(f.choose(short(fmt.Sprint(i))).Replica.ID).To(Equal(want.ID))
		}
		Expect(near).To(BeNumerically(">", 0), "the test covers no such case")
	})

	It("reads a short prompt at no more than two replicas while none is overloaded", func() {
		f := newFleet("llm", manyDomains(66)...)
		f.view.LargeFleet = true
		readers := make(map[routing.ReplicaID]bool)
		for i := range 66 {
			f.view.Domain = state.FailureDomain(fmt.Sprintf("z%d", i%11))
			readers[f.serve(short("s")).ID] = true
		}
		Expect(len(readers)).To(BeNumerically("<=", 2))
	})

	It("announces a short prompt only where nobody expects it, and a long one everywhere", func() {
		f := newFleet("llm", sameDomain(18)...)
		f.view.LargeFleet = true
		homes := []routing.Replica{f.serve(short("s"))}
		f.load(homes[0], 30)
		homes = append(homes, f.serve(short("s")))
		Expect(f.placer.Cache.TakePending(10)).To(BeEmpty())
		f.load(homes[1], 30)
		third := f.serve(short("s"))
		Expect(f.placer.Cache.TakePending(10)).To(ConsistOf(HaveField("Replica", third.LoadKey())))
		f.serve(chat("s"))
		Expect(f.placer.Cache.TakePending(10)).To(ContainElement(HaveField("Prompt", routing.PromptKey(chat("s").Key()))))
	})

	It("guesses that a draining former home holds a prompt that nobody has announced", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.choose(chat("s")).Replica
		f.remove(home.ID)
		f.pool.Draining = append(f.pool.Draining, home)
		Expect(f.choose(chat("s")).Source.ID).To(Equal(home.ID))
	})

	It("sends a long prompt to the replica that holds it, whatever the domain", func() {
		f := newFleet("llm", "z0", "z0", "z1", "z1", "z1")
		f.view.Domain = "z1"
		there := f.serve(chat("s"))
		f.view.Domain = "z0"
		Expect(f.choose(chat("s")).Replica.ID).To(Equal(there.ID))
	})

	It("learns from peers which replica holds a prompt", func() {
		f, g := newFleet("llm", sameDomain(18)...), newFleet("llm", sameDomain(18)...)
		home := f.serve(chat("s"))
		g.placer.Cache.Observe(f.placer.Cache.TakePending(10), false, epoch)
		g.load(home, 30)
		Expect(g.choose(chat("s")).Source.ID).To(Equal(home.ID))
	})

	DescribeTable("copies from a home that is leaving", func(leave func(*routing.Pool, routing.Replica)) {
		f := newFleet("llm", sameDomain(18)...)
		home := f.serve(chat("s"))
		f.remove(home.ID)
		leave(f.pool, home)
		t := f.choose(chat("s"))
		Expect(t.Replica.ID).NotTo(Equal(home.ID))
		Expect(t.Source.ID).To(Equal(home.ID))
	},
		Entry("draining", func(p *routing.Pool, r routing.Replica) { p.Draining = append(p.Draining, r) }),
		Entry("expired", func(p *routing.Pool, r routing.Replica) { p.Expired = append(p.Expired, r) }),
	)

	It("does not copy from an unreachable replica", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.serve(chat("s"))
		f.placer.Health.Report(&home, routing.ResultUnreachable, epoch)
		t := f.choose(chat("s"))
		Expect(t.Replica.ID).NotTo(Equal(home.ID))
		Expect(t.Source.ID).NotTo(Equal(home.ID))
	})

	It("does not choose a replica again that was tried", func() {
		f := newFleet("llm", sameDomain(2)...)
		first := f.choose(chat("s")).Replica.ID
		second := f.choose(chat("s"), first).Replica.ID
		Expect(second).NotTo(Equal(first))
		_, ok := f.placer.Choose(f.view, chat("s"), routing.Tried{Replicas: []routing.ReplicaID{first, second}}, epoch)
		Expect(ok).To(BeFalse())
	})
})

func TestJoiningMovesFewPrompts(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "replicas")
		f, g := newFleet("llm", sameDomain(n)...), newFleet("llm", sameDomain(n+1)...)
		joined := g.pool.Ready[n].ID
		for i := range 100 {
			a, b := f.choose(chat(fmt.Sprint(i))).Replica.ID, g.choose(chat(fmt.Sprint(i))).Replica.ID
			if a != b && b != joined {
				t.Fatalf("prompt %d moved from %s to %s, which is not the new replica", i, a, b)
			}
		}
	})
}

func TestLoadStaysBelowBound(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("llm", sameDomain(18)...)
		subjects := rapid.IntRange(1, 40).Draw(t, "subjects")
		counts := make(map[routing.ReplicaID]int)
		const requests = 400
		for i := range requests {
			target := f.choose(chat(fmt.Sprint(i % subjects)))
			counts[target.Replica.ID]++
			f.load(target.Replica, 1)
		}
		mean := float64(requests) / 18
		for id, n := range counts {
			if float64(n) > 2*mean+3 {
				t.Fatalf("replica %s has %d of %d requests in flight", id, n, requests)
			}
		}
	})
}

var _ = Describe("Placement of plain requests", func() {
	plain := func(id string) *routing.Request {
		return &routing.Request{ID: routing.RequestID(id), Service: "plain"}
	}

	It("prefers replicas of its own domain until they are busy", func() {
		f := newFleet("plain", "z0", "z1", "z2")
		Expect(f.choose(plain("a")).Replica.Domain).To(Equal(state.FailureDomain("z0")))
		f.load(f.pool.Ready[0], 3)
		Expect(f.choose(plain("a")).Replica.Domain).NotTo(Equal(state.FailureDomain("z0")))
	})

	It("says how full the least loaded replica is that might be chosen", func() {
		// Guards against evidence of saturation (coordination/admission) while a replica has a free place, also if it is
		// not chosen because it is in another failure domain.
		f := newFleet("plain", "z0", "z1")
		slots := f.pool.Ready[0].Slots
		Expect(f.choose(plain("a")).Least).To(Equal(routing.Occupancy{Slots: slots}))
		f.load(f.pool.Ready[0], 2)
		f.load(f.pool.Ready[1], 1)
		Expect(f.choose(plain("a")).Least).To(Equal(routing.Occupancy{Load: 1, Slots: slots}))
		f.pool.Ready[1].Slots = 0
		Expect(f.choose(plain("a")).Least).To(Equal(routing.Occupancy{}))
	})

	It("spreads requests over equally loaded replicas", func() {
		f := newFleet("plain", sameDomain(4)...)
		counts := make(map[routing.ReplicaID]int)
		for i := range 400 {
			counts[f.choose(plain(fmt.Sprint(i))).Replica.ID]++
		}
		Expect(counts).To(HaveLen(4))
		for _, n := range counts {
			Expect(n).To(BeNumerically(">", 50))
		}
	})
})

var _ = Describe("Health", func() {
	var h *routing.Health
	r := routing.NewReplica(routing.Replica{ID: "r", Domain: "z1"})

	BeforeEach(func() { h = routing.NewHealth() })

	It("ejects an unreachable replica at once, and uses it again after a pause", func() {
		Expect(h.Report(&r, routing.ResultUnreachable, epoch)).To(BeTrue())
		Expect(h.Usable(&r, epoch)).To(BeFalse())
		Expect(h.Reachable(&r, epoch)).To(BeFalse())
		Expect(h.Usable(&r, epoch.Add(600*time.Millisecond))).To(BeTrue())
	})

	It("lengthens the pause with each ejection", func() {
		at := epoch
		var pauses []time.Duration
		for range 5 {
			h.Report(&r, routing.ResultUnreachable, at)
			begun := at
			for !h.Usable(&r, at) {
				at = at.Add(100 * time.Millisecond)
			}
			pauses = append(pauses, at.Sub(begun))
		}
		Expect(pauses[0]).To(BeNumerically("<", pauses[1]))
		Expect(pauses[4]).To(BeNumerically("<=", 4*time.Second))
	})

	It("does not eject a replica with a few broken responses", func() {
		for i := range 200 {
			at := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			result := routing.ResultGood
			if i%20 == 0 {
				result = routing.ResultBroken
			}
			h.Report(&r, result, at)
			Expect(h.Usable(&r, at)).To(BeTrue())
		}
	})

	It("detects a partially failing replica by the combined evidence of all daemons, earlier than one daemon could", func() {
		Expect(h.Report(&r, routing.ResultFailed, epoch)).To(BeFalse())
		for i := range 3 {
			h.ObserveEvidence(routing.PeerID(fmt.Sprint(i)), []routing.Evidence{{Replica: r.LoadKey(), Good: 1, Bad: 1}}, epoch, routing.PeerEvidenceAge)
		}
		Expect(h.Report(&r, routing.ResultFailed, epoch)).To(BeTrue())
		Expect(h.Reachable(&r, epoch)).To(BeTrue(), "prompts can still be copied from it")
	})

	It("excludes a domain whose daemons are all silent, until a heartbeat arrives from one", func() {
		h.ObserveDomains(map[state.FailureDomain]time.Time{"z1": epoch}, routing.DomainTimeout)
		Expect(h.Usable(&r, epoch)).To(BeTrue())
		later := epoch.Add(2 * time.Second)
		Expect(h.Usable(&r, later)).To(BeFalse())
		h.ObserveDomains(map[state.FailureDomain]time.Time{"z1": later}, routing.DomainTimeout)
		Expect(h.Usable(&r, later)).To(BeTrue())
	})

	It("uses only its own domain while all others are cut off, even if they have most of the replicas", func() {
		f := newFleet("llm", "z0", "z1", "z1", "z2", "z2", "z2", "z2")
		for _, z := range []string{"z1", "z2"} {
			f.placer.Health.ObserveDomains(map[state.FailureDomain]time.Time{state.FailureDomain(z): epoch.Add(-time.Second)}, routing.DomainTimeout)
		}
		for i := range 50 {
			Expect(f.choose(chat(fmt.Sprint(i))).Replica.Domain).To(Equal(state.FailureDomain("z0")))
		}
		f.pool.Ready = f.pool.Ready[1:]
		Expect(f.choose(chat("s")).Replica.Domain).NotTo(BeEmpty(), "a replica that is cut off is better than none")
	})

	It("goes to its own domain after a replica of another one could not be reached", func() {
		f := newFleet("gate", "z0", "z1", "z1", "z2", "z2")
		f.pool.Sort()
		tried := routing.Tried{Replicas: []routing.ReplicaID{"r1"}, RemoteUnreachable: true}
		for i := range 20 {
			t, ok := f.placer.Choose(f.view, &routing.Request{ID: routing.RequestID(fmt.Sprint(i)), Service: "gate"}, tried, epoch)
			Expect(ok).To(BeTrue())
			Expect(t.Replica.Domain).To(Equal(state.FailureDomain("z0")))
		}
		tried.Replicas = append(tried.Replicas, "r0")
		_, ok := f.placer.Choose(f.view, &routing.Request{ID: "x", Service: "gate"}, tried, epoch)
		Expect(ok).To(BeTrue(), "other domains are used when the own domain has no replica left")
	})

	It("refuses at once what only replicas behind a cut could serve, and finds out when they are back", func() {
		f := newFleet("gate", "z1", "z2")
		f.pool.Sort()
		h := f.placer.Health
		h.ObserveDomains(map[state.FailureDomain]time.Time{"z1": epoch.Add(-2 * time.Second), "z2": epoch.Add(-2 * time.Second)}, routing.DomainTimeout)
		r := &routing.Request{ID: "x", Service: "gate"}
		choose := func(now time.Time, tried ...routing.ReplicaID) bool {
			_, ok := f.placer.Choose(f.view, r, routing.Tried{Replicas: tried}, now)
			return ok
		}
		Expect(choose(epoch)).To(BeTrue(), "missing heartbeats of daemons alone do not exclude replicas")
		h.Report(&f.pool.Ready[0], routing.ResultUnreachable, epoch)
		Expect(choose(epoch)).To(BeTrue(), "the other domain is not tried yet")
		h.Report(&f.pool.Ready[1], routing.ResultUnreachable, epoch)
		Expect(choose(epoch)).To(BeFalse())
		Expect(choose(epoch.Add(time.Second))).To(BeTrue(), "it is tried again")
		h.ObserveDomains(map[state.FailureDomain]time.Time{"z1": epoch}, routing.DomainTimeout)
		Expect(choose(epoch)).To(BeTrue(), "a heartbeat from that domain arrived")
	})

	It("forgets the silence of a domain after some time", func() {
		h.ObserveDomains(map[state.FailureDomain]time.Time{"z1": epoch}, routing.DomainTimeout)
		h.Forget("z0", epoch.Add(time.Minute))
		Expect(h.Usable(&r, epoch.Add(time.Minute))).To(BeTrue())
	})

	It("is ignored while most replicas look unhealthy", func() {
		f := newFleet("llm", sameDomain(4)...)
		for i := range f.pool.Ready[:3] {
			f.placer.Health.Report(&f.pool.Ready[i], routing.ResultUnreachable, epoch)
		}
		seen := make(map[routing.ReplicaID]bool)
		for i := range 100 {
			seen[f.choose(chat(fmt.Sprint(i))).Replica.ID] = true
		}
		Expect(seen).To(HaveLen(4))
	})
})

func TestFleetStaysWithinRetryRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := routing.RetryRule{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		daemons := make([]*routing.RetryBudgets, n)
		for i := range daemons {
			daemons[i] = routing.NewRetryBudgets(rule, n)
		}
		const step = 100 * time.Millisecond
		const steps = 300
		requests, retries := make([]int, steps), make([]int, steps)
		for i := range steps {
			at := epoch.Add(time.Duration(i) * step)
			for _, d := range daemons {
				for range rapid.IntRange(0, 4).Draw(t, "requests") {
					d.CountRequest("s", at)
					requests[i]++
				}
				for range rapid.IntRange(0, 6).Draw(t, "wanted") {
					if d.SpendRetry("s", at) {
						retries[i]++
					}
				}
			}
		}
		window := int(rule.Window / step)
		sum := func(v []int, from, to int) (s int) {
			for i := max(0, from); i < to; i++ {
				s += v[i]
			}
			return s
		}
		for end := window; end <= steps; end++ {
			most := max(sum(requests, end-window, end), sum(requests, end-window-window/2, end-window/2))
			allowed := rule.Ratio*float64(most) + rule.Extra
			if spent := sum(retries, end-window, end); float64(spent) > allowed {
				t.Fatalf("%d retries in the window that ends at step %d, want at most %.0f", spent, end, allowed)
			}
		}
	})
}

func TestBudgetNeverGrowsWhenPeersAreLost(t *testing.T) {
	rule := routing.RetryRule{Ratio: 0, Extra: 80, Window: 10 * time.Second}
	b := routing.NewRetryBudgets(rule, 8)
	b.SetDaemons(2)
	n := 0
	for b.SpendRetry("s", epoch) {
		n++
	}
	if n > 10 {
		t.Fatalf("a daemon that sees 2 of 8 daemons spent %d retries of 80", n)
	}
}

var _ = Describe("CacheTable", func() {
	It("announces each location exactly twice", func() {
		h := routing.NewCacheTable()
		h.Record(1, 1000, 2, true, epoch)
		h.Record(1, 1000, 2, true, epoch)
		Expect(h.TakePending(10)).To(HaveLen(1))
		Expect(h.TakePending(10)).To(HaveLen(1))
		Expect(h.TakePending(10)).To(BeEmpty())
	})

	It("forwards received locations once, and only in a large fleet", func() {
		h := routing.NewCacheTable()
		h.Observe([]routing.CacheLocation{{Prompt: 1, Replica: 2}}, false, epoch)
		Expect(h.TakePending(10)).To(BeEmpty())
		h.Observe([]routing.CacheLocation{{Prompt: 2, Replica: 2}}, true, epoch)
		h.Observe([]routing.CacheLocation{{Prompt: 2, Replica: 2}}, true, epoch)
		Expect(h.TakePending(10)).To(HaveLen(1))
		Expect(h.TakePending(10)).To(BeEmpty())
	})

	It("reaches most daemons of a large fleet", func() {
		const daemons = 100
		rng := rand.New(rand.NewPCG(1, 1))
		tables := make([]*routing.CacheTable, daemons)
		for i := range tables {
			tables[i] = routing.NewCacheTable()
		}
		tables[0].Record(1, 1000, 2, true, epoch)
		for range 6 {
			for _, h := range tables {
				announced := h.TakePending(10)
				for range 6 {
					tables[rng.IntN(daemons)].Observe(announced, true, epoch)
				}
			}
		}
		known := 0
		for _, h := range tables {
			known += h.Len()
		}
		Expect(known).To(BeNumerically(">=", daemons*95/100))
	})

	It("stays bounded", func() {
		h := routing.NewCacheTable()
		for i := range uint64(50_000) {
			h.Record(i, 1000, routing.LoadKey(i), true, epoch.Add(time.Duration(i)*time.Millisecond))
		}
		Expect(h.Len()).To(BeNumerically("<=", 20_000))
		Expect(len(h.TakePending(1 << 20))).To(BeNumerically("<=", 200))
	})
})

var _ = Describe("ContentKey", func() {
	key := func(host, target string, w routing.WorkspaceName, body string) routing.ContentKey {
		return routing.NewContentKey(host, target, w, []byte(body))
	}
	It("is the same for the same request, regardless of the case of the host", func() {
		Expect(key("H.example", "/a", "w", "b")).To(Equal(key("h.example", "/a", "w", "b")))
	})
	DescribeTable("differs", func(other routing.ContentKey) {
		Expect(other).NotTo(Equal(key("h", "/a", "w", "b")))
	},
		Entry("for another host", key("g", "/a", "w", "b")),
		Entry("for another path", key("h", "/A", "w", "b")),
		Entry("for a query", key("h", "/a?", "w", "b")),
		Entry("for another workspace", key("h", "/a", "v", "b")),
		Entry("for another body", key("h", "/a", "w", "c")),
		Entry("if only the concatenation of the parts is equal", key("h", "/aw", "", "b")),
	)
})

var _ = Describe("Incarnations of a replica", func() {
	It("have the same rank, but different load keys", func() {
		first := routing.NewReplica(routing.Replica{ID: "i", StartTime: 1})
		second := routing.NewReplica(routing.Replica{ID: "i", StartTime: 2})
		Expect(second.Hash).To(Equal(first.Hash))
		Expect(second.LoadKey()).NotTo(Equal(first.LoadKey()))
		unknown := routing.NewReplica(routing.Replica{ID: "i"})
		Expect(unknown.LoadKey()).To(Equal(routing.LoadKey(unknown.Hash)), "the key used by daemons that do not know incarnations")
	})

	DescribeTable("are distinguished as holders of a prompt", func(holder routing.StartTime, taken bool) {
		f := newFleet("llm", sameDomain(18)...)
		r := chat("s")
		home := f.choose(r).Replica
		f.load(home, 20)
		second := f.choose(r).Replica
		Expect(second.ID).NotTo(Equal(home.ID))
		var third routing.Replica
		for i := range f.pool.Ready {
			if c := &f.pool.Ready[i]; c.ID != home.ID && c.ID != second.ID {
				*c = routing.NewReplica(routing.Replica{ID: c.ID, StartTime: 2, Service: "llm", Domain: "z0", Slots: 6})
				third = *c
			}
		}
		former := routing.NewReplica(routing.Replica{ID: third.ID, StartTime: holder})
		f.placer.Cache.Record(r.Key(), r.SharedTokens(), former.LoadKey(), false, epoch)
		Expect(f.choose(r).Replica.ID == third.ID).To(Equal(taken))
	},
		Entry("the current incarnation holds it", routing.StartTime(2), true),
		Entry("a former incarnation held it", routing.StartTime(1), false),
	)
})
