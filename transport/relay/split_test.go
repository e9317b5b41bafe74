package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// Guards against streams that go on at another service after the split of their route has changed.
var _ = Describe("Streams of a route whose split has changed", func() {
	allEvents := event(1) + event(2) + event(3)
	streams := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, allEvents)
		return streamEnd(a)
	}
	// startAt starts a replica of a service.
	startAt := func(id string, s routing.ServiceName, v routing.SoftwareVersion) *replica {
		r := startReplica(id, streams)
		r.Service, r.Version = s, v
		r.Replica = routing.NewReplica(r.Replica)
		return r
	}
	// changed returns a fixture in which service s has had a part of the route's streams that service t has now.
	changed := func() (w *fixture, former, now *replica) {
		former, now = startAt("r1", "s", "v1"), startAt("r2", "t", "v1")
		w = newFixture(resumable, former, now)
		view := *w.currentView()
		view.Pools = map[routing.ServiceName]*routing.Pool{
			"s": {Ready: []routing.Replica{former.Replica}}, "t": {Ready: []routing.Replica{now.Replica}},
		}
		w.setView(&view)
		return w, former, now
	}
	call := func(w *fixture, resumes routing.RequestID) *relay.Call {
		c := w.call("2", "POST", "x")
		c.Service, c.Former = "t", "s"
		route := *c.Route
		route.Shares = []routing.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
		c.Route = &route
		if resumes != "" {
			c.LastEventID, c.Resumes = "0", resumes
		}
		return c
	}

	It("are recorded if they begin after the change, though each service has one version", func() {
		w, _, now := changed()
		origins := &recordedOrigins{only: now.VersionKey()}
		w.relay.Origins = origins
		_, s := w.serve(call(w, ""))
		Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r2"))))
		Expect(origins.recorded).To(HaveExactElements(HaveField("Version", now.VersionKey())))
	})

	It("go on at the former service if they are not recorded", func() {
		w, former, _ := changed()
		w.relay.Origins = &recordedOrigins{only: former.VersionKey()}
		to, s := w.serve(call(w, "1"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r1"))))
		Expect(s.Binding.By).To(Equal(relay.OriginOnlyVersion))
	})

	It("go on at the service of their record", func() {
		for i, id := range []routing.ReplicaID{"r1", "r2"} {
			w, former, now := changed()
			r := []*replica{former, now}[i]
			w.relay.Origins = &recordedOrigins{only: former.VersionKey(), known: map[routing.StreamKey]routing.VersionKey{routing.NewStreamKey("", "1"): r.VersionKey()}}
			c := call(w, "1")
			c.Workspace = ""
			_, s := w.serve(c)
			Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", id)))
			Expect(s.Binding.Version).To(Equal(r.VersionKey()))
		}
	})

	It("go on at the service of their record, also if that is neither the former one nor that of the newest split", func() {
		w, former, _ := changed()
		third := startAt("r3", "u", "v1")
		view := *w.currentView()
		view.Pools["u"] = &routing.Pool{Ready: []routing.Replica{third.Replica}}
		w.setView(&view)
		w.relay.Origins = &recordedOrigins{only: former.VersionKey(), known: map[routing.StreamKey]routing.VersionKey{routing.NewStreamKey("", "1"): third.VersionKey()}}
		c := call(w, "1")
		route := *c.Route
		route.Shares = []routing.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}, {Service: "u", Weight: 1}}
		c.Workspace, c.Route = "", &route
		_, s := w.serve(c)
		Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r3"))))
	})

	// Guards against a daemon that is cut off from the holders of a stream of after the change, and takes it for one of before.
	It("are refused if holders of their record don't reply", func() {
		w, former, _ := changed()
		w.relay.Origins = &recordedOrigins{only: former.VersionKey(), silent: true}
		to, s := w.serve(call(w, "1"))
		Expect(to.body).To(BeEmpty())
		Expect(s.Attempts).To(BeEmpty())
		Expect(s.Binding.By).To(Equal(relay.OriginUnknown))
	})

	// Guards against a stream that begins at a daemon which has started after the change: the others take a stream without a record for
	// one of before.
	It("are recorded by a daemon that has just started, as it knows no former split", func() {
		shares := []routing.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
		for started, recorded := range map[time.Duration]int{time.Second: 1, time.Hour: 0} {
			w, _, now := changed()
			config := routing.Config{Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Shares: shares}}}
			table, err := routing.NewTable(&config)
			Expect(err).NotTo(HaveOccurred())
			view := *w.currentView()
			view.Table = table.WithFormerSplits(nil, clock.Now().Add(-started))
			w.setView(&view)
			origins := &recordedOrigins{only: now.VersionKey()}
			w.relay.Origins = origins
			c := call(w, "")
			route := *c.Route
			route.Shares, c.Route, c.Former = shares, &route, ""
			w.serve(c)
			Expect(origins.recorded).To(HaveLen(recorded))
		}
	})
})
