package relay_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

var _ = Describe("A request whose replica was chosen before the process was paused", func() {
	// Guards against an evacuated failure domain that gets requests by a choice from before the pause.
	It("is not sent there if what is read after the pause evacuates the replica", func() {
		evacuated, other := startReplica("evacuated", respondOK), startReplica("other", respondOK)
		route := atMostOnce
		route.MaxAttempts = 2
		w := newFixture(route, evacuated)
		w.relay.AwaitRead = func(context.Context) {
			v := *w.currentView()
			v.Pools = map[routing.ServiceName]*routing.Pool{"s": {Ready: []routing.Replica{other.Replica}, Evacuated: []routing.Replica{evacuated.Replica}}}
			w.setView(&v)
		}
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[1].Replica).To(Equal(routing.ReplicaID("other")))
		Expect(evacuated.count()).To(BeZero())
	})
})
