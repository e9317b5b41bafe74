package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

var _ = Describe("an invalid request", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture(GinkgoTB(), fixtureOptions{limits: func(l *gateway.Limits) { l.BodyBytes = 1000 }})
	})
	DescribeTable("is rejected with a remedy and reaches no upstream", func(method, path, key, body string, status int, remedy string) {
		resp, err := f.do(context.Background(), method, path, []byte(body), map[string]string{"Authorization": key})
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		Expect(resp.StatusCode).To(Equal(status))
		Expect(string(text)).To(ContainSubstring(remedy))
		Expect(resp.Header.Get(protocol.HeaderOutcome)).To(Equal("not-run"))
		Expect(string(text)).NotTo(ContainSubstring(testKey))
		Expect(f.engines[0].Requests.Load()).To(BeZero())
		Expect(f.service.Runs()).To(BeEmpty())
	},
		Entry("no key", "POST", protocol.PathChat, "", "{}", 401, "send it as Authorization"),
		Entry("wrong scheme", "POST", protocol.PathChat, "Basic x", "{}", 401, "send it as Authorization"),
		Entry("wrong key", "POST", protocol.PathChat, "Bearer nope", "{}", 401, "API key is not known"),
		Entry("the hash as key", "POST", protocol.PathChat, "Bearer "+string(state.HashKey(testKey)), "{}", 401, "API key is not known"),
		Entry("wrong method", "GET", protocol.PathChat, "Bearer "+testKey, "", 405, "use POST"),
		Entry("unknown path", "GET", "/v2/x", "Bearer "+testKey, "", 404, "path is not served"),
		Entry("not JSON", "POST", protocol.PathChat, "Bearer "+testKey, "{", 400, "not one JSON value"),
		Entry("two values", "POST", protocol.PathChat, "Bearer "+testKey, "{}{}", 400, "not one JSON value"),
		Entry("a list", "POST", protocol.PathChat, "Bearer "+testKey, "[]", 400, "not a JSON object"),
		Entry("bad UTF-8", "POST", protocol.PathChat, "Bearer "+testKey, "{\"model\":\"m\xff\"}", 400, "UTF-8"),
		Entry("no model", "POST", protocol.PathChat, "Bearer "+testKey, `{"messages":[]}`, 400, "model is missing"),
		Entry("no messages", "POST", protocol.PathChat, "Bearer "+testKey, `{"model":"m"}`, 400, "messages is missing"),
		Entry("a model that is not allowed", "POST", protocol.PathChat, "Bearer "+testKey, `{"model":"secret","messages":[{"role":"user"}]}`, 403, "may not use model"),
		Entry("a second model after the first", "POST", protocol.PathChat, "Bearer "+testKey, `{"model":"m","model":"secret","messages":[{"role":"user"}]}`, 400, "stands twice"),
		Entry("a body that is too large", "POST", protocol.PathChat, "Bearer "+testKey, strings.Repeat(" ", 2000), 413, "send less"),
		Entry("an unknown service", "POST", "/services/none/x", "Bearer "+testKey, "", 404, "is not defined"),
		Entry("a service that is not allowed", "POST", "/services/gate/passes", "Bearer "+otherKey, "", 403, "may not call service"),
		Entry("a path with dots", "POST", "/services/gate/x/..%2fpasses", "Bearer "+testKey, "", 400, "send it without them"),
	)
})

var _ = Describe("a caller that sends a body too slowly", func() {
	It("is refused as not-run after the limit", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{limits: func(l *gateway.Limits) { l.CallerStall = 50 * time.Millisecond }})
		c, err := net.Dial("tcp", f.gateway.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", protocol.PathChat, testKey)
		Expect(c.SetReadDeadline(time.Now().Add(eventually))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(resp.Header.Get(protocol.HeaderOutcome)).To(Equal("not-run"))
	})
	It("can send a later request on the same connection", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{limits: func(l *gateway.Limits) { l.CallerStall = 50 * time.Millisecond }})
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		for range 3 {
			for _, body := range []string{string(chatJSON(false, "x")), "{"} {
				req, _ := http.NewRequest(http.MethodPost, f.gateway.URL+protocol.PathChat, strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+testKey)
				resp, err := client.Do(req)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, resp.Body)
				Expect(err).NotTo(HaveOccurred())
				_ = resp.Body.Close()
				time.Sleep(80 * time.Millisecond)
			}
		}
	})
	It("does not interrupt a stream that lasts longer than the limit", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{
			engine: standin.EngineOptions{TokenInterval: 20 * time.Millisecond},
			limits: func(l *gateway.Limits) { l.CallerStall = 50 * time.Millisecond },
		})
		Expect(f.chat(true, "x").whole).To(BeTrue())
	})
})

var _ = Describe("the model field", func() {
	It("is compared exactly, as engines do", func() {
		r, err := protocol.ParseChat([]byte(`{"model":"m","Model":"secret","messages":[{"role":"user"}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Model).To(Equal(state.ModelID("m")))
	})
})

var _ = Describe("a stream that falls silent", func() {
	It("ends in an explicit error", func() {
		silent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: {}\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		f := newFixture(GinkgoTB(), fixtureOptions{
			extra:  []http.Handler{silent},
			limits: func(l *gateway.Limits) { l.StreamIdle = 100 * time.Millisecond },
		})
		f.engines[0].SetFaults(standin.Faults{Refuse: true})
		r := f.chat(true, "x")
		Expect(r.failed).To(BeTrue())
		Expect(r.whole).To(BeFalse())
	})
})

var _ = Describe("a plain service", func() {
	It("receives any method with query and body, and its response is returned complete", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{})
		resp, err := f.do(context.Background(), "PUT", "/services/gate/exits/7?lane=2", []byte("plate"), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		Expect(string(text)).To(HavePrefix("PUT /exits/7 run=1"))
		Expect(string(text)).To(HaveSuffix("body=plate"))
		Expect(resp.Header.Get("X-Served-Path")).To(Equal("/exits/7?lane=2"))
	})
	It("receives no hop-by-hop header field and no API key", func() {
		h := protocol.ForwardHeader(http.Header{
			"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Transfer-Encoding": {"chunked"},
			"Authorization": {"Bearer k"}, "X-Priority": {"high"}, "X-Kept": {"1"}, "Idempotency-Key": {"k"},
		})
		Expect(h).To(Equal(http.Header{"X-Kept": {"1"}, "Idempotency-Key": {"k"}}))
	})
	It("can't be reached by a smuggled second request", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{})
		c, err := net.Dial("tcp", f.gateway.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		hidden := "GET /services/gate/hidden HTTP/1.1\r\nHost: x\r\nIdempotency-Key: hidden\r\nAuthorization: Bearer wrong\r\n\r\n"
		fmt.Fprintf(c, "POST /services/gate/seen HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nIdempotency-Key: seen\r\n\r\n0\r\n\r\n%s", testKey, hidden)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.service.Runs()).NotTo(HaveKey("hidden"))
	})
	DescribeTable("is sent a request again only if it was surely not run", func(faults standin.ServiceFaults, outcome string, runs int) {
		f := newFixture(GinkgoTB(), fixtureOptions{})
		f.service.SetFaults(faults)
		resp, err := f.do(context.Background(), "POST", "/services/gate/passes", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.Header.Get(protocol.HeaderOutcome)).To(Equal(outcome))
		Expect(f.service.Runs()[""]).To(Equal(runs))
	},
		Entry("refused", standin.ServiceFaults{Refuse: true}, "not-run", 0),
		Entry("broken after it ran", standin.ServiceFaults{AbortAfterRun: true}, "may-have-run", 1),
		Entry("broken before it ran", standin.ServiceFaults{AbortBeforeRun: true}, "may-have-run", 0),
		Entry("answered", standin.ServiceFaults{}, "", 1),
	)
})

// onceNode is the part of a daemon that handles requests with keys, with a peer server.
type onceNode struct {
	runner *gateway.OnceRunner
	server *httptest.Server
	member state.Member
}

// onceFleet is a set of daemons in front of one service, with a member list that was
// applied before the grace period.
type onceFleet struct {
	service  *standin.Service
	nodes    []*onceNode
	snapshot atomic.Pointer[state.Snapshot]
}

func newOnceFleet(n int) *onceFleet {
	f := &onceFleet{service: standin.NewService()}
	srv := httptest.NewServer(f.service)
	DeferCleanup(srv.Close)
	members := []state.Member{{ID: "s0", Kind: state.KindService, Group: "gate", Domain: "a", Address: srv.Listener.Addr().String(), State: state.Live}}
	for i := range n {
		node := f.start(state.DaemonID(fmt.Sprintf("d%d", i)), state.Incarnation(i+1))
		f.nodes = append(f.nodes, node)
		members = append(members, node.member)
	}
	cfg, err := state.ParseConfig("fleet.yaml", []byte(testConfig))
	Expect(err).NotTo(HaveOccurred())
	list := state.NewMemberList(1, nil, members)
	now := time.Now()
	f.snapshot.Store(state.BuildSnapshot(state.Inputs{
		Config: cfg, Members: list, Hash: coordination.Hash,
		Ownership: state.OwnershipState{
			Confirmed: now.Add(time.Minute), LastTick: now.Add(time.Minute),
			History: []state.AppliedList{{List: list, AppliedAt: now.Add(-time.Hour)}},
		},
	}))
	return f
}

func (f *onceFleet) start(id state.DaemonID, incarnation state.Incarnation) *onceNode {
	rec, m := transport.NewRecorder(id, nil), gateway.NewMetrics()
	up := gateway.NewUpstreams(gateway.UpstreamOptions{})
	peers := gateway.NewPeers(nil, &gateway.Meter{Sent: m.ControlSent, Read: m.ControlRead}, rec, m, nil)
	runner := gateway.NewOnceRunner(gateway.OnceOptions{
		Self: id, Incarnation: incarnation, Secret: fmt.Append(nil, id, incarnation), Snapshot: f.snapshot.Load, Upstreams: up,
		Forwarder: peers, Recorder: rec, Metrics: m, LedgerBytes: 1 << 20, AnswerBytes: 1 << 20,
	})
	server := httptest.NewServer((&gateway.PeerServer{Once: runner, Recorder: rec}).Handler())
	DeferCleanup(func() {
		server.Close()
		up.Close()
		m.Close()
	})
	return &onceNode{runner, server, state.Member{ID: string(id), Kind: state.KindDaemon, Domain: "a", Address: server.Listener.Addr().String(), State: state.Live}}
}

func (f *onceFleet) run(n int, key, body string) gateway.OnceResult {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.nodes[n].runner.Run(ctx, &gateway.OnceRequest{
		ID: "r", Workspace: "w", Service: "gate", Key: key, Method: "POST", Target: "/passes",
		Header: http.Header{"Idempotency-Key": {key}}, Body: []byte(body),
	})
}

func refusalOf(r gateway.OnceResult) coordination.Outcome {
	refusal, ok := r.(gateway.OnceRefusal)
	Expect(ok).To(BeTrue(), "%T", r)
	return refusal.Outcome
}

var _ = Describe("a request that must not be repeated", func() {
	It("runs once through any daemon, by ticket and by the caller's own key", func() {
		f := newOnceFleet(3)
		ticket, _ := f.nodes[0].runner.Issue("w", "gate")
		for _, key := range []string{ticket, "own-1", "own-2", "own-3"} {
			for i := range 9 {
				answer, ok := f.run(i%3, key, "pass").(gateway.OnceAnswer)
				Expect(ok).To(BeTrue())
				Expect(answer.Replayed).To(Equal(i > 0))
				Expect(string(answer.Answer.Body)).To(ContainSubstring("run=1"))
			}
			Expect(f.service.Runs()[key]).To(Equal(1))
		}
	})
	It("runs once when all daemons receive it at the same time", func() {
		f := newOnceFleet(3)
		f.service.SetFaults(standin.ServiceFaults{Delay: 20 * time.Millisecond})
		done := make(chan gateway.OnceResult)
		for i := range 30 {
			go func() { done <- f.run(i%3, "own", "pass") }()
		}
		for range 30 {
			Expect(<-done).To(BeAssignableToTypeOf(gateway.OnceAnswer{}))
		}
		Expect(f.service.Runs()["own"]).To(Equal(1))
	})
	It("is always refused as may-have-run once its outcome is unknown", func() {
		f := newOnceFleet(2)
		f.service.SetFaults(standin.ServiceFaults{AbortAfterRun: true})
		ticket, _ := f.nodes[0].runner.Issue("w", "gate")
		for i := range 4 {
			Expect(refusalOf(f.run(i%2, ticket, "pass"))).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
		}
		Expect(f.service.Runs()[ticket]).To(Equal(1))
	})
	It("may run later if it was surely not run", func() {
		f := newOnceFleet(2)
		f.service.SetFaults(standin.ServiceFaults{Refuse: true})
		ticket, _ := f.nodes[0].runner.Issue("w", "gate")
		Expect(refusalOf(f.run(1, ticket, "pass"))).To(BeAssignableToTypeOf(coordination.NotRun{}))
		f.service.SetFaults(standin.ServiceFaults{})
		Expect(f.run(1, ticket, "pass")).To(BeAssignableToTypeOf(gateway.OnceAnswer{}))
	})
	It("is never called not-run when its owner can't be reached", func() {
		f := newOnceFleet(2)
		ticket, _ := f.nodes[0].runner.Issue("w", "gate")
		Expect(f.run(1, ticket, "pass")).To(BeAssignableToTypeOf(gateway.OnceAnswer{}))
		f.nodes[0].server.Close()
		Expect(refusalOf(f.run(1, ticket, "pass"))).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
	})
	It("is refused by the next incarnation of its issuer", func() {
		f := newOnceFleet(2)
		ticket, _ := f.nodes[0].runner.Issue("w", "gate")
		f.nodes[0] = f.start("d0", 99)
		Expect(refusalOf(f.run(0, ticket, "pass"))).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
		Expect(f.service.Runs()).To(BeEmpty())
	})
	It("can't be used for another body", func() {
		f := newOnceFleet(2)
		f.run(0, "own", "pass 1")
		Expect(f.run(1, "own", "pass 2")).To(BeAssignableToTypeOf(gateway.OnceConflict{}))
	})
	It("is refused when the list is stale", func() {
		f := newOnceFleet(2)
		s := f.snapshot.Load()
		ownership := s.Ownership
		ownership.Confirmed = time.Now().Add(-time.Hour)
		f.snapshot.Store(s.WithOwnership(ownership))
		Expect(refusalOf(f.run(0, "own", "pass"))).To(BeAssignableToTypeOf(coordination.MayHaveRun{}))
		ticket, _ := f.nodes[0].runner.Issue("w", "gate")
		Expect(f.run(1, ticket, "pass")).To(BeAssignableToTypeOf(gateway.OnceAnswer{}))
	})
	It("requires a fresh challenge from a peer that forwards a caller's own key", func() {
		f := newOnceFleet(2)
		r := &gateway.OnceRequest{Workspace: "w", Service: "gate", Key: "own", Method: "POST", Target: "/passes", Header: http.Header{}}
		Expect(f.nodes[0].runner.RunForPeer(context.Background(), r, "")).To(BeAssignableToTypeOf(gateway.OnceChallenge{}))
		Expect(f.service.Runs()).To(BeEmpty())
	})
})
