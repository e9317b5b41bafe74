package relay_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

var (
	atMostOnce = routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 3}
	idempotent = routing.Route{Kind: routing.Idempotent, MaxAttempts: 3}
	stream     = routing.Route{Kind: routing.Stream, MaxAttempts: 2, EventTarget: 100 * time.Millisecond}
	resumable  = routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2, EventTarget: 100 * time.Millisecond}
)

func respondOK(a *receivedRequest) bool { return respond(a, 200, sealed, "fine "+a.id()) }

func beMayHaveRun() OmegaMatcher { return BeAssignableToTypeOf(coordination.MayHaveRun{}) }
func beNotRun() OmegaMatcher     { return BeAssignableToTypeOf(coordination.NotRun{}) }

var _ = Describe("Relay of requests that are not streamed", func() {
	DescribeTable("records the load that a replica reports, without the request it responds to", func(load string, overloaded bool) {
		var replicas []*replica
		for i := range 4 {
			replicas = append(replicas, startReplica(fmt.Sprint(i), func(a *receivedRequest) bool {
				return respond(a, 200, sealed+"Replica-Load: "+load+",0,12\r\n", "x")
			}))
		}
		w := newFixture(routing.Route{}, replicas...)
		w.relay.Placer.Overloads = routing.NewOverloads()
		c := w.call("a", "POST", "")
		c.Prompt = []routing.PromptPart{{ID: "p", Tokens: 9}}
		for _, r := range replicas {
			w.relay.Placer.ReportLoad(&c.Request, &routing.Target{Replica: r.Replica}, 0, time.Now())
		}
		_, s := w.serve(c)
		Expect(s.Attempts).To(ConsistOf(HaveField("Reported.Known", true)))
		if overloaded {
			Expect(w.observer.overloaded).To(ConsistOf(s.Attempts[0].Replica))
			return
		}
		Expect(w.observer.overloaded).To(BeEmpty())
	},
		Entry("at the load bound", "5", false),
		Entry("above the load bound", "6", true),
	)

	It("forwards method, target, headers and body unchanged, and names the replica", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		to, _ := w.serve(w.call("a", "POST", "the body"))
		Expect(to.status).To(Equal(200))
		Expect(string(to.body)).To(Equal("fine a"))
		a := r.received(0)
		Expect(a.request.Method).To(Equal("POST"))
		Expect(a.request.RequestURI).To(Equal("/x?y=1"))
		Expect(a.request.Host).To(Equal("h"))
		Expect(string(a.body)).To(Equal("the body"))
		Expect(a.request.Header.Get("Expect-Replica")).To(Equal("r"))
		Expect(a.request.Header.Get("Deadline-Ms")).To(MatchRegexp(`^29\d\d$`))
	})

	It("opens no more than this daemon's share of a replica's connections", func() {
		hold := make(chan struct{})
		r := startReplica("r", func(a *receivedRequest) bool { <-hold; return respondOK(a) })
		w := newFixture(atMostOnce, r)
		t, err := routing.NewTable(&routing.Config{Routes: []routing.Route{*w.route}, Services: []routing.Service{{Name: "s", MaxConnections: 20}}})
		Expect(err).NotTo(HaveOccurred())
		limited := *w.view
		limited.Table, limited.Daemons = t, 6
		w.view = &limited
		refusals := make(chan coordination.Outcome, 8)
		for range 8 {
			go func() { to, _ := w.serve(w.call("a", "POST", "x")); refusals <- to.refusal }()
		}
		for range 5 {
			Eventually(refusals, time.Second).Should(Receive(beNotRun()))
		}
		close(hold)
		for range 3 {
			Eventually(refusals, time.Second).Should(Receive(BeNil()))
		}
		Expect(r.connections()).To(Equal(3))
		Expect(w.observer.ejected).To(BeEmpty(), "the limit does not count against the replica")
	})

	It("reuses a connection after a complete response", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		for range 5 {
			w.serve(w.call("a", "GET", ""))
		}
		Expect(r.connections()).To(Equal(1))
	})

	DescribeTable("does not reuse a connection after a protocol error or with unread bytes", func(script func(a *receivedRequest) bool) {
		r := startReplica("r", func(a *receivedRequest) bool {
			if a.index == 0 {
				return script(a)
			}
			return respondOK(a)
		})
		w := newFixture(atMostOnce, r)
		w.serve(w.call("a", "GET", ""))
		time.Sleep(20 * time.Millisecond)
		to, _ := w.serve(w.call("b", "GET", ""))
		Expect(string(to.body)).To(Equal("fine b"))
		Expect(r.connections()).To(Equal(2))
	},
		Entry("second response at once", func(a *receivedRequest) bool { respondOK(a); return respondOK(a) }),
		Entry("second response while the connection is idle", func(a *receivedRequest) bool {
			respondOK(a)
			time.Sleep(5 * time.Millisecond)
			return respondOK(a)
		}),
		Entry("bytes after the end of the response", func(a *receivedRequest) bool { return respondOK(a) && write(a, "garbage") }),
		Entry("closed by the replica", func(a *receivedRequest) bool { respondOK(a); return false }),
		Entry("Connection: close", func(a *receivedRequest) bool {
			return respond(a, 200, sealed+"Connection: close\r\n", "x")
		}),
		Entry("malformed response", func(a *receivedRequest) bool { return write(a, "nonsense\r\n\r\n") }),
		Entry("response to another request before the right one", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\nAttempt-Id: old\r\n"+sealed+"Content-Length: 3\r\n\r\nold")
			return respondOK(a)
		}),
	)

	It("opens new connections to a failure domain after a link to it broke during a request", func() {
		breaks := 0 // number of requests whose connection is still to be reset
		script := func(a *receivedRequest) bool {
			scriptMu.Lock()
			defer scriptMu.Unlock()
			if breaks--; breaks >= 0 {
				return reset(a.conn)
			}
			return respondOK(a)
		}
		broken, other := startReplica("broken", script), startReplica("other", respondOK)
		w := newFixture(atMostOnce, broken, other)
		n := 0
		serveUntil := func(done func() bool) {
			for ; !done(); n++ {
				Expect(n).To(BeNumerically("<", 200))
				w.serve(w.call(fmt.Sprint("r", n), "GET", ""))
			}
		}
		serveUntil(func() bool { return broken.connections() == 1 && other.connections() == 1 })
		scriptMu.Lock()
		breaks = 1
		scriptMu.Unlock()
		before := broken.count()
		serveUntil(func() bool { return broken.count() > before })
		reached := other.count()
		serveUntil(func() bool { return other.count() > reached })
		Expect(other.connections()).To(Equal(2))
		serveUntil(func() bool { return other.count() > reached+5 })
		Expect(other.connections()).To(Equal(2), "the new connection is reused")
	})

	It("skips a response to an earlier request", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\nAttempt-Id: old\r\n"+sealed+"Content-Length: 3\r\n\r\nold")
			return respondOK(a)
		})
		w := newFixture(atMostOnce, r)
		to, _ := w.serve(w.call("a", "GET", ""))
		Expect(string(to.body)).To(Equal("fine a"))
	})

	DescribeTable("never forwards an incomplete or invalid response as complete", func(script func(a *receivedRequest) bool) {
		r, other := startReplica("r", script), startReplica("r2", script)
		w := newFixture(atMostOnce, r, other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.complete).To(BeFalse())
		Expect(to.refusal).To(beMayHaveRun())
		Expect(r.count()+other.count()).To(Equal(1), "an at-most-once request is not retried")
	},
		Entry("success status without a seal", func(a *receivedRequest) bool { return respond(a, 200, "", "x") }),
		Entry("response to another request", func(a *receivedRequest) bool {
			return write(a, "HTTP/1.1 200 X\r\nAttempt-Id: b\r\n"+sealed+"\r\nx") && reset(a.conn)
		}),
		Entry("no request id", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\n"+sealed+"Content-Length: 1\r\n\r\nx")
			return false
		}),
		Entry("body shorter than Content-Length", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n"+sealed+"Content-Length: 10\r\n\r\nx")
			return false
		}),
		Entry("chunked body without its last chunk", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n"+sealed+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
			return false
		}),
		Entry("body without a length ended by a reset", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n"+sealed+"\r\nx")
			time.Sleep(20 * time.Millisecond)
			return reset(a.conn)
		}),
		Entry("content encoding", func(a *receivedRequest) bool { return respond(a, 200, sealed+"Content-Encoding: gzip\r\n", "x") }),
		Entry("not HTTP", func(a *receivedRequest) bool { write(a, "what?\r\n"); return false }),
		Entry("connection reset", func(a *receivedRequest) bool { return reset(a.conn) }),
	)

	It("accepts a response without a length that ends with the connection closed regularly", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n"+sealed+"\r\nwhole")
			return false
		})
		w := newFixture(atMostOnce, r)
		to, _ := w.serve(w.call("a", "GET", ""))
		Expect(string(to.body)).To(Equal("whole"))
	})

	It("accepts a response sent before a long request body is read, and closes the connection", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			respond(a, 413, sealed, "too long")
			time.Sleep(50 * time.Millisecond)
			return false
		})
		r.skipBody = true
		w := newFixture(atMostOnce, r)
		to, _ := w.serve(w.call("a", "POST", strings.Repeat("x", 8<<20)))
		Expect(to.status).To(Equal(413))
		w.serve(w.call("b", "GET", ""))
		Expect(r.connections()).To(Equal(2))
		Expect(r.received(1).id()).To(Equal("b"))
	})

	DescribeTable("retries at another replica what was not run", func(script func(a *receivedRequest) bool) {
		answers := []func(a *receivedRequest) bool{script, respondOK}
		total := 0
		shared := func(a *receivedRequest) bool { return answers[min(countCall(&total), 2)-1](a) }
		w := newFixture(atMostOnce, startReplica("r1", shared), startReplica("r2", shared))
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[0].Replica).NotTo(Equal(s.Attempts[1].Replica))
	},
		Entry("rejection", func(a *receivedRequest) bool { return respond(a, 503, "Not-Executed: 1\r\n", "") }),
		Entry("another replica at the address", func(a *receivedRequest) bool { return respond(a, 421, "Replica-Id: other\r\n", "") }),
	)

	DescribeTable("does not retry an error response that does not state that the request was not run", func(status int) {
		r := startReplica("r", func(a *receivedRequest) bool { return respond(a, status, sealed, "no") })
		w := newFixture(atMostOnce, r)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.status).To(Equal(status), "the replica's response is forwarded unchanged")
		Expect(r.count()).To(Equal(1))
	},
		Entry("500", 500), Entry("503 without Not-Executed", 503), Entry("429 without Not-Executed", 429),
	)

	It("refuses at once, with Retry-After, if no replica accepts a connection", func() {
		r := startReplica("r", respondOK)
		_ = r.listener.Close()
		w := newFixture(atMostOnce, r)
		begun := time.Now()
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.refusal).To(beNotRun())
		Expect(to.refusal.(coordination.NotRun).RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("retries an idempotent request at another replica after any failure, within the allowed attempts", func() {
		calls := 0
		script := func(a *receivedRequest) bool {
			if countCall(&calls) < 3 {
				return reset(a.conn)
			}
			return respondOK(a)
		}
		w := newFixture(idempotent, startReplica("r1", script), startReplica("r2", script), startReplica("r3", script), startReplica("r4", script))
		to, s := w.serve(w.call("a", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(3))
	})

	It("sends an idempotent request to no more replicas than the route allows", func() {
		script := func(a *receivedRequest) bool { return reset(a.conn) }
		w := newFixture(idempotent, startReplica("r1", script), startReplica("r2", script), startReplica("r3", script), startReplica("r4", script))
		to, s := w.serve(w.call("a", "GET", ""))
		Expect(to.refusal).To(beMayHaveRun())
		Expect(s.Attempts).To(HaveLen(3))
	})

	It("gives up a silent replica if the request is idempotent", func() {
		calls := 0
		script := func(a *receivedRequest) bool {
			if countCall(&calls) == 1 {
				time.Sleep(2 * time.Second)
				return false
			}
			return respondOK(a)
		}
		w := newFixture(idempotent, startReplica("r1", script), startReplica("r2", script))
		begun := time.Now()
		to, _ := w.serve(w.call("a", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(w.observer.ejected).To(HaveLen(1))
	})

	It("forwards a replica's error response if all replicas fail, and ejects none", func() {
		script := func(a *receivedRequest) bool { return respond(a, 500, sealed, "no") }
		w := newFixture(idempotent, startReplica("r1", script), startReplica("r2", script), startReplica("r3", script))
		for range 20 {
			to, _ := w.serve(w.call("a", "GET", ""))
			Expect(to.status).To(Equal(500))
		}
		Expect(w.observer.ejected).To(BeEmpty())
	})

	It("responds at the deadline and not later", func() {
		r := startReplica("r", func(*receivedRequest) bool { time.Sleep(2 * time.Second); return false })
		w := newFixture(atMostOnce, r)
		c := w.call("a", "POST", "x")
		c.Deadline = c.Arrived.Add(300 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(to.refusal).To(beMayHaveRun())
		Expect(time.Since(c.Arrived)).To(BeNumerically("~", 300*time.Millisecond, 150*time.Millisecond))
	})

	It("does not send a request whose deadline has passed", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		c := w.call("a", "POST", "x")
		c.Deadline = c.Arrived
		to, _ := w.serve(c)
		Expect(to.refusal).To(beNotRun())
		Expect(r.count()).To(BeZero())
	})

	It("does not send to a replica that left the view during connection setup", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		empty := *w.view
		empty.Pools = map[routing.ServiceName]*routing.Pool{}
		views := []*routing.View{w.view, &empty}
		w.relay.View = func() *routing.View {
			v := views[0]
			views = views[min(1, len(views)-1):]
			return v
		}
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.refusal).To(beNotRun())
		Expect(r.count()).To(BeZero())
	})

	It("closes the connection to the replica at once when the caller disconnects", func() {
		r := startReplica("r", nil)
		reading := make(chan struct{})
		scriptMu.Lock()
		r.script = func(a *receivedRequest) bool {
			close(reading)
			_, _ = a.reader.ReadByte()
			r.closed <- struct{}{}
			return false
		}
		scriptMu.Unlock()
		w := newFixture(atMostOnce, r)
		ctx, disconnect := context.WithCancel(context.Background())
		done := make(chan *relay.Summary)
		go func() { done <- w.relay.Serve(ctx, w.call("a", "POST", "x"), &recordingSink{}) }()
		<-reading
		disconnect()
		Eventually(r.closed, time.Second).Should(Receive())
		Expect((<-done).CallerGone).To(BeTrue())
	})

	It("does not retry for a caller that disconnected", func() {
		a, b := startReplica("a", nil), startReplica("b", nil)
		reading := make(chan struct{}, 2)
		scriptMu.Lock()
		for _, r := range []*replica{a, b} {
			r.script = func(x *receivedRequest) bool {
				reading <- struct{}{}
				_, _ = x.reader.ReadByte()
				return false
			}
		}
		scriptMu.Unlock()
		w := newFixture(idempotent, a, b)
		ctx, disconnect := context.WithCancel(context.Background())
		done := make(chan *relay.Summary)
		go func() { done <- w.relay.Serve(ctx, w.call("a", "POST", "x"), &recordingSink{}) }()
		<-reading
		disconnect()
		Expect((<-done).Attempts).To(HaveLen(1))
		Expect(a.count() + b.count()).To(Equal(1))
	})
})

var _ = Describe("Relay of streams", func() {
	allEvents := event(1) + event(2) + event(3)

	It("forwards events as they arrive", func() {
		gate := make(chan struct{})
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			<-gate
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		})
		w := newFixture(stream, r)
		to := &recordingSink{wrote: make(chan struct{}, 8)}
		done := make(chan struct{})
		go func() { w.relay.Serve(context.Background(), w.call("a", "POST", "x"), to); close(done) }()
		Eventually(to.wrote, time.Second).Should(Receive())
		close(gate)
		<-done
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
	})

	It("refuses a stream that breaks before its first event", func() {
		r := startReplica("r", func(a *receivedRequest) bool { streamHead(a); return reset(a.conn) })
		w := newFixture(stream, r)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.refusal).To(beMayHaveRun())
		Expect(to.status).To(BeZero())
	})

	DescribeTable("aborts a stream that can't be completed, without forwarding a partial event", func(script func(a *receivedRequest) bool) {
		r := startReplica("r", script)
		w := newFixture(stream, r, startReplica("r2", script))
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.broken).To(BeTrue())
		Expect(string(to.body)).To(Equal(event(1)))
		Expect(r.count()).To(BeNumerically("<=", 1))
	},
		Entry("inside an event", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+"id: 2\nda")
			return false
		}),
		Entry("complete chunked body that ends inside an event", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+"id: 2\nda")
			return streamEnd(a)
		}),
		Entry("event id that does not increase", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			time.Sleep(200 * time.Millisecond) // each event is read by itself
			chunk(a, event(1))
			return streamEnd(a)
		}),
		Entry("connection reset", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			time.Sleep(20 * time.Millisecond)
			return reset(a.conn)
		}),
	)

	DescribeTable("resumes a resumable stream once, at another replica, after the last event", func(first func(a *receivedRequest) bool) {
		n := 0
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return first(a)
			}
			streamHead(a)
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		}
		r1, r2 := startReplica("r1", script), startReplica("r2", script)
		w := newFixture(resumable, r1, r2)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect(s.Attempts).To(HaveLen(2))
		second := r1
		if s.Attempts[1].Replica == "r2" {
			second = r2
		}
		Expect(second.received(0).request.Header.Get("Last-Event-Id")).To(Equal("1"))
	},
		Entry("inside an event", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+"id: 2\nda")
			return reset(a.conn)
		}),
		Entry("silent replica", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			time.Sleep(1500 * time.Millisecond)
			return false
		}),
	)

	It("waits for a slow replica if the budget allows no retry", func() {
		script := func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			time.Sleep(800 * time.Millisecond)
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		}
		w := newFixture(resumable, startReplica("r1", script), startReplica("r2", script))
		w.relay.Budgets = routing.NewRetryBudgets(routing.RetryRule{Window: 10 * time.Second}, 1)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect(s.Attempts).To(HaveLen(1))
	})

	It("retries with budget transferred by other daemons, and requests none if the route allows no retry", func() {
		lent := []routing.Retries{0.5, 0, 0.5}
		serve := func(route routing.Route) (attempts, asked int) {
			failing := func(a *receivedRequest) bool { return respond(a, 500, sealed, "no") }
			w := newFixture(route, startReplica("r1", failing), startReplica("r2", failing))
			w.relay.Budgets = routing.NewRetryBudgets(routing.RetryRule{Window: 10 * time.Second}, 1)
			w.relay.RequestTransfer = func(_ context.Context, _ routing.ServiceName, missing routing.Retries) routing.Retries {
				Expect(missing).To(BeNumerically(">", 0))
				asked++
				return lent[asked-1]
			}
			_, s := w.serve(w.call("a", "GET", ""))
			return len(s.Attempts), asked
		}
		twice := idempotent
		twice.MaxAttempts = 2
		attempts, asked := serve(twice)
		Expect(attempts).To(Equal(2))
		Expect(asked).To(Equal(3))
		attempts, asked = serve(atMostOnce)
		Expect(attempts).To(Equal(1))
		Expect(asked).To(BeZero(), "the request may have run")
	})

	It("reports a replica that was silent until the timeout, but not one that it gave up sooner", func() {
		slow := func(a *receivedRequest) bool {
			time.Sleep(1200 * time.Millisecond)
			streamHead(a)
			chunk(a, event(1)+event(2)+event(3))
			return streamEnd(a)
		}
		reports := func(route routing.Route, replicas ...*replica) []routing.SilenceReport {
			w := newFixture(route, replicas...)
			to, _ := w.serve(w.call("a", "POST", "x"))
			Expect(string(to.body)).To(Equal(allEvents))
			return w.relay.Placer.Health.TakeSilences(10, time.Now())
		}
		notResumable := resumable
		notResumable.Resumable, notResumable.MaxAttempts = false, 1
		Expect(reports(notResumable, startReplica("r1", slow))).To(HaveLen(1), "it waited for the response")
		n := 0
		first := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return slow(a)
			}
			streamHead(a)
			chunk(a, event(1)+event(2)+event(3))
			return streamEnd(a)
		}
		Expect(reports(resumable, startReplica("r1", first), startReplica("r2", first))).To(BeEmpty(), "it gave up after a quarter of a second")
	})

	DescribeTable("stops the first attempt a quarter of a second after the second starts, or with its first event", func(work time.Duration, headerFirst bool) {
		n := 0
		gone := make(chan time.Time, 1)
		began := make(chan time.Time, 1)
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				streamHead(a)
				chunk(a, event(1))
				_, err := a.reader.ReadByte() // returns when the relay closes the connection
				Expect(err).To(HaveOccurred())
				gone <- time.Now()
				return false
			}
			began <- time.Now()
			if headerFirst {
				streamHead(a)
			}
			time.Sleep(work)
			if !headerFirst {
				streamHead(a)
			}
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		}
		w := newFixture(resumable, startReplica("r1", script), startReplica("r2", script))
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		// Replicas must not work on one stream for 400 ms at the same time.
		Expect((<-gone).Sub(<-began)).To(BeNumerically("<", min(work, 250*time.Millisecond)+60*time.Millisecond))
	},
		Entry("it responds at once", time.Duration(0), false),
		Entry("it responds soon", 100*time.Millisecond, false),
		Entry("it responds late", 600*time.Millisecond, false),
		Entry("its events are late", 600*time.Millisecond, true),
	)

	It("starts after the caller's last event", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(8))
			return streamEnd(a)
		})
		w := newFixture(resumable, r)
		c := w.call("a", "POST", "x")
		c.LastEventID = "7"
		to, _ := w.serve(c)
		Expect(r.received(0).request.Header.Get("Last-Event-Id")).To(Equal("7"))
		Expect(string(to.body)).To(Equal(event(8)))
	})

	It("forwards an error response with its status", func() {
		r := startReplica("r", func(a *receivedRequest) bool { return respond(a, 500, sealed, "no") })
		w := newFixture(stream, r)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(to.status).To(Equal(500))
		Expect(to.header.Get("Replica-Seal")).To(Equal("good"))
	})

	It("aborts at the deadline", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			for i := range 100 {
				chunk(a, event(i+1))
				time.Sleep(50 * time.Millisecond)
			}
			return streamEnd(a)
		})
		w := newFixture(stream, r)
		c := w.call("a", "POST", "x")
		c.Deadline = c.Arrived.Add(400 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(to.broken).To(BeTrue())
		Expect(time.Since(c.Arrived)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("counts a request in the replica's load only while it is in flight", func() {
		r := startReplica("r", func(a *receivedRequest) bool { streamHead(a); chunk(a, event(1)); return streamEnd(a) })
		w := newFixture(stream, r)
		w.serve(w.call("a", "POST", "x"))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})
})
