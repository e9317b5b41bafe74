package relay_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/platform"
	"hingewinch.org/hingewinch/transport/relay"
)

// panickingCodec is a Codec that panics when it encodes the request for one replica, or decodes a response.
type panickingCodec struct {
	platform.Codec
	atRequest  routing.ReplicaID
	atResponse bool
}

func (c panickingCodec) AppendRequest(buf []byte, call *relay.Call, h relay.RequestHead) []byte {
	if h.Replica.ID == c.atRequest {
		panic("request")
	}
	return c.Codec.AppendRequest(buf, call, h)
}

func (c panickingCodec) ReadResponse(status int, h http.Header) relay.ResponseHead {
	if c.atResponse {
		panic("response")
	}
	return c.Codec.ReadResponse(status, h)
}

// summaryObserver is an Observer that records the summaries of the calls.
type summaryObserver struct {
	*recordingObserver
	mu        sync.Mutex
	summaries []relay.Summary
}

func (o *summaryObserver) Finished(_ *relay.Call, s *relay.Summary) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.summaries = append(o.summaries, *s)
}

// rejectingSink is a Sink that panics when it is to reject the call.
type rejectingSink struct{ *recordingSink }

func (rejectingSink) Reject(coordination.Outcome) { panic("reject") }

var _ = Describe("A call that panics", func() {
	internalError := coordination.MayHaveRun{Reason: coordination.ReasonInternal}

	// expectReleased expects that nothing is left of the calls of a relay.
	expectReleased := func(w *fixture, p *scriptedPermits) {
		GinkgoHelper()
		Expect(p.released).To(HaveLen(len(p.tried)))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
		Expect(w.relay.Pool.OpenConns()).To(Equal(w.relay.Pool.Idle()))
	}
	serve := func(w *fixture, sink relay.Sink, value string) relay.Summary {
		GinkgoHelper()
		observer := &summaryObserver{recordingObserver: w.observer}
		w.relay.Observer = observer
		Expect(func() { w.relay.Serve(context.Background(), w.call("x", "GET", ""), sink) }).To(PanicWith(value))
		Expect(observer.summaries).To(HaveLen(1))
		return observer.summaries[0]
	}

	// The HTTP server recovers panics of its handlers. The connection to the replica stayed counted, which takes
	// away from the limit of that replica for good, and the request had no line in the log.
	DescribeTable("ends as other calls do, and holds nothing", func(codec panickingCodec) {
		r := startReplica("r", respondOK)
		w := newFixture(idempotent, r)
		w.relay.Codec = codec
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		to := &recordingSink{}
		value := "request"
		if codec.atResponse {
			value = "response"
		}
		s := serve(w, to, value)
		Expect(to.refusal).To(Equal(internalError))
		Expect(s.Outcome).To(Equal(internalError))
		Expect(s.Attempts).To(HaveLen(1))
		Expect(s.Attempts[0].Replica).To(Equal(routing.ReplicaID("r")))
		Expect(s.Attempts[0].Err).To(HaveOccurred())
		expectReleased(w, p)
	},
		Entry("before the request is written", panickingCodec{atRequest: "r"}),
		Entry("when the response has arrived", panickingCodec{atResponse: true}),
	)

	It("breaks a response off that has begun", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			return streamEnd(a)
		})
		w := newFixture(stream, r)
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		to := &recordingSink{}
		s := serve(w, panickingSink{to}, "write")
		Expect(to.broken).To(BeTrue())
		Expect(to.refusal).To(BeNil())
		Expect(s.Status).To(Equal(200))
		Expect(s.Outcome).To(Equal(internalError))
		expectReleased(w, p)
	})

	It("ends its exchange with a silent replica too", func() {
		// Guards against a permit, a count and a connection that only the attempt before the last one holds.
		closed := make(chan error, 1)
		silent := startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			_, err := a.reader.ReadByte()
			closed <- err
			return false
		})
		other := startReplica("r2", respondOK)
		w := newFixture(resumable, silent, other)
		w.relay.Codec = panickingCodec{atRequest: "r2"}
		p := &scriptedPermits{needed: true, acquire: grants(silent, other)}
		w.relay.Permits = p
		to := &recordingSink{}
		s := serve(w, to, "request")
		Expect(to.broken).To(BeTrue())
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[0].Err).To(HaveOccurred())
		Expect(s.Attempts[1].Err).To(HaveOccurred())
		expectReleased(w, p)
		Eventually(closed, 5*time.Second).Should(Receive(HaveOccurred()))
	})

	It("is reported once if the final response panics", func() {
		w := newFixture(idempotent)
		to := &recordingSink{}
		s := serve(w, rejectingSink{to}, "reject")
		Expect(to.broken).To(BeTrue())
		Expect(s.Outcome).To(Equal(internalError))
	})

	It("releases the permit only once if that panics", func() {
		r := startReplica("r", respondOK)
		w := newFixture(idempotent, r)
		p := &panickingPermits{scriptedPermits{needed: true, acquire: grants(r)}}
		w.relay.Permits = p
		to := &recordingSink{}
		s := serve(w, to, "release")
		Expect(s.Outcome).To(Equal(internalError))
		expectReleased(w, &p.scriptedPermits)
	})
})

// panickingPermits is a Permits that panics when a permit ends.
type panickingPermits struct{ scriptedPermits }

func (p *panickingPermits) Release(g relay.PermitGranted, took time.Duration, result admission.Result) {
	p.scriptedPermits.Release(g, took, result)
	panic("release")
}
