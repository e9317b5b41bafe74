package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// atReplicas decides about permits at single replicas by a function of how often each was asked for.
type atReplicas struct {
	*scriptedPermits
	asked   []routing.ReplicaID
	waited  []routing.ReplicaID // of those, with the wait
	decides func(r *routing.Replica, mayWait bool) relay.Permit
}

func newAtReplicas(decides func(r *routing.Replica, mayWait bool) relay.Permit) *atReplicas {
	p := &atReplicas{scriptedPermits: &scriptedPermits{}, decides: decides}
	p.atReplica = func(r *routing.Replica, mayWait bool) relay.Permit {
		p.asked = append(p.asked, r.ID)
		if mayWait {
			p.waited = append(p.waited, r.ID)
		}
		return p.decides(r, mayWait)
	}
	return p
}

func grantAt(r *routing.Replica) relay.Permit {
	return relay.PermitGranted{Service: "s", ID: 1, Replica: r.LoadKey(), AtReplica: true}
}

var _ = Describe("Relay with permits at single replicas", func() {
	var replicas []*replica
	BeforeEach(func() {
		replicas = nil
		for i := range 6 {
			replicas = append(replicas, startReplica(fmt.Sprint("r", i), respondOK))
		}
	})

	It("sends to the replica that it would choose without permits, and releases the permit", func() {
		plain, w := newFixture(idempotent, replicas...), newFixture(idempotent, replicas...)
		p := newAtReplicas(func(r *routing.Replica, _ bool) relay.Permit { return grantAt(r) })
		w.relay.Permits = p
		for i := range 20 {
			_, before := plain.serve(plain.call(fmt.Sprint("a", i), "GET", ""))
			_, after := w.serve(w.call(fmt.Sprint("a", i), "GET", ""))
			Expect(after.Attempts[0].Replica).To(Equal(before.Attempts[0].Replica))
		}
		Expect(p.released).To(And(HaveLen(20), HaveEach(admission.Completed)))
		Expect(p.waited).To(BeEmpty())
	})

	It("looks for a free place at other replicas, and waits at the first if there is none", func() {
		// Guards against a request that is sent to a full replica, and a caller who waits while a place is free.
		w := newFixture(atMostOnce, replicas...)
		p := newAtReplicas(nil)
		w.relay.Permits = p
		p.decides = func(r *routing.Replica, _ bool) relay.Permit {
			if len(p.asked) < 3 {
				return relay.PermitFull{}
			}
			return grantAt(r)
		}
		to, s := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(1))
		Expect(p.asked).To(HaveLen(3))
		Expect(s.Attempts[0].Replica).To(Equal(p.asked[2]))
		Expect(p.asked[0]).NotTo(BeElementOf(p.asked[1], p.asked[2]))
		Expect(p.waited).To(BeEmpty())

		p.asked = nil
		p.decides = func(r *routing.Replica, mayWait bool) relay.Permit {
			if mayWait {
				return grantAt(r)
			}
			return relay.PermitFull{}
		}
		_, s = w.serve(w.call("y", "GET", ""))
		Expect(p.asked).To(HaveLen(5))
		Expect(p.waited).To(Equal([]routing.ReplicaID{p.asked[0]}))
		Expect(s.Attempts[0].Replica).To(Equal(p.asked[0]))
	})

	It("refuses the request at once with the time to come back", func() {
		w := newFixture(atMostOnce, replicas[:2]...)
		p := newAtReplicas(func(_ *routing.Replica, mayWait bool) relay.Permit {
			if mayWait {
				return relay.PermitRefused{RetryAfter: 170 * time.Millisecond}
			}
			return relay.PermitFull{}
		})
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.refusal).To(Equal(coordination.NotRun{Reason: coordination.ReasonUpstreamsFull, RetryAfter: 170 * time.Millisecond}))
		Expect(p.asked).To(HaveLen(3))
		Expect(replicas[0].count() + replicas[1].count()).To(BeZero())
	})

	It("asks for a permit for a retry too, at a replica that was not tried", func() {
		// Guards against a request that one full replica rejected and that is forced on the next one.
		full, free := startReplica("full", respondRejected), startReplica("free", respondOK)
		w := newFixture(atMostOnce, full, free)
		p := newAtReplicas(func(r *routing.Replica, _ bool) relay.Permit {
			return grantAt(r)
		})
		w.relay.Permits = p
		for i := 0; full.count() == 0; i++ {
			p.asked, p.released = nil, nil
			to, _ := w.serve(w.call(fmt.Sprint("x", i), "GET", ""))
			Expect(to.status).To(Equal(200))
		}
		Expect(p.asked).To(Equal([]routing.ReplicaID{"full", "free"}))
		Expect(p.released).To(Equal([]admission.Result{admission.Rejected, admission.Completed}))
	})

	It("is sent without a permit if none is needed any more", func() {
		w := newFixture(atMostOnce, replicas...)
		p := newAtReplicas(func(*routing.Replica, bool) relay.Permit { return relay.PermitDirect{} })
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(p.released).To(BeEmpty())
	})

	It("does not eject a brittle replica that rejects requests", func() {
		// Guards against full replicas that count as failing, so that the others get their load.
		for _, brittle := range []bool{false, true} {
			header := "Not-Executed: full\r\n"
			if brittle {
				header += "Server-Brittle: 3\r\n"
			}
			full := startReplica("full", func(a *receivedRequest) bool { return respond(a, 503, header, "full") })
			w := newFixture(atMostOnce, full)
			for i := range 8 {
				w.serve(w.call(fmt.Sprint("x", i), "GET", ""))
			}
			if brittle {
				Expect(w.observer.ejected).To(BeEmpty())
			} else {
				Expect(w.observer.ejected).NotTo(BeEmpty())
			}
		}
	})
})
