package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
)

const words = 12

var _ = Describe("a streamed answer", func() {
	DescribeTable("with a fault of its engine", func(faults standin.Faults, whole bool) {
		f := newFixture(GinkgoTB(), fixtureOptions{answer: 200 * time.Millisecond})
		f.engines[0].SetFaults(faults)
		r := f.chat(true, "where is my refund?")
		Expect(r.whole).To(Equal(whole))
		Expect(r.failed).To(Equal(!whole))
		Expect(wantAnswer("where is my refund?", words)).To(HavePrefix(r.text))
		if whole {
			Expect(r.text).To(Equal(wantAnswer("where is my refund?", words)))
		}
		if !whole {
			Expect(r.outcome).To(Equal("may-have-run"))
			Expect(r.broken).To(Equal(r.status == http.StatusOK), "a stream that failed must not end like a complete one")
		}
	},
		Entry("none", standin.Faults{}, true),
		Entry("events repeated", standin.Faults{DuplicateEvents: true}, true),
		Entry("an event lost", standin.Faults{SkipEvent: 4}, true),
		Entry("connection broken, stream resumed", standin.Faults{AbortAfter: 5}, true),
		Entry("ended early, stream resumed", standin.Faults{TruncateAfter: 5}, true),
		Entry("broken too often", standin.Faults{AbortAfter: 1}, false),
		Entry("broken and forgotten", standin.Faults{AbortAfter: 5, LoseStreams: true}, false),
		Entry("ended early and forgotten", standin.Faults{TruncateAfter: 5, LoseStreams: true}, false),
		Entry("resumed as another stream", standin.Faults{AbortAfter: 5, WrongStreamID: true}, false),
		Entry("unnumbered and broken", standin.Faults{AbortAfter: 5, OmitEventIDs: true}, false),
		Entry("unnumbered and ended early", standin.Faults{TruncateAfter: 5, OmitEventIDs: true}, false),
		Entry("unnumbered and complete", standin.Faults{OmitEventIDs: true}, true),
		Entry("broken before the response", standin.Faults{AbortBeforeResponse: true}, false),
		Entry("stalled forever", standin.Faults{Stall: time.Hour}, false),
	)

	It("reaches only its caller, with thousands interleaved and changing faults", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{engines: 4, engine: standin.EngineOptions{TokenInterval: 200 * time.Microsecond}})
		stop := make(chan struct{})
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(1, 2))
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				f.engines[i%4].SetFaults([]standin.Faults{
					{DuplicateEvents: true}, {AbortAfter: 4}, {SkipEvent: 3}, {TruncateAfter: 6}, {}, {AbortAfter: 2, LoseStreams: true}, {Refuse: true},
				}[rng.IntN(7)])
			}
		})
		var whole, failed atomic.Int64
		slots := make(chan struct{}, 200)
		var callers sync.WaitGroup
		for i := range 3000 {
			callers.Go(func() {
				defer GinkgoRecover()
				slots <- struct{}{}
				defer func() { <-slots }()
				content := fmt.Sprintf("dispute %d", i)
				r := f.chat(i%5 != 0, content)
				Expect(r.whole || r.failed).To(BeTrue(), "neither complete nor an explicit error: %+v", r)
				Expect(wantAnswer(content, words)).To(HavePrefix(r.text))
				if r.whole {
					whole.Add(1)
					Expect(r.text).To(Equal(wantAnswer(content, words)))
					return
				}
				failed.Add(1)
			})
		}
		callers.Wait()
		close(stop)
		wg.Wait()
		Expect(whole.Load()).To(BeNumerically(">", 1500))
		Expect(failed.Load()).To(BeNumerically(">", 0))
	})

	It("is cancelled at the engine when its caller disconnects", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{engine: standin.EngineOptions{TokenInterval: 20 * time.Millisecond, CompletionWords: 10_000}})
		ctx, cancel := context.WithCancel(context.Background())
		resp, err := f.do(ctx, http.MethodPost, protocol.PathChat, chatJSON(true, "long"), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = protocol.NewEventReader(resp.Body).Read()
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(f.engines[0].Cancelled.Load, eventually).Should(Equal(int64(1)))
	})

	It("is throttled by a slow caller without unbounded buffering", func() {
		var sent atomic.Int64
		endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			event := "data: " + strings.Repeat("x", 4000) + "\n\n"
			for r.Context().Err() == nil && sent.Load() < 256<<20 {
				n, err := io.WriteString(w, event)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		f := newFixture(GinkgoTB(), fixtureOptions{extra: []http.Handler{endless}})
		f.engines[0].SetFaults(standin.Faults{Refuse: true})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resp, err := f.do(ctx, http.MethodPost, protocol.PathChat, chatJSON(true, "slow"), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		before := int64(-1)
		Eventually(func() bool {
			now := sent.Load()
			stands := now == before
			before = now
			return stands
		}, eventually, "200ms").Should(BeTrue())
		// The data in transit is limited by the socket buffers; the daemon does not buffer it.
		Expect(sent.Load()).To(BeNumerically("<", 64<<20))
		f.engines[0].SetFaults(standin.Faults{})
		Expect(f.chat(false, "quick").status).To(Equal(http.StatusOK))
	})
})

var _ = Describe("a chat", func() {
	It("is retried at another engine when the first refuses", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{engines: 3})
		f.engines[0].SetFaults(standin.Faults{Refuse: true})
		for i := range 30 {
			Expect(f.chat(true, fmt.Sprint(i)).whole).To(BeTrue())
		}
	})
	It("is refused at once as not-run, with Retry-After, when no engine accepts it", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{})
		f.engines[0].SetFaults(standin.Faults{Refuse: true})
		resp, err := f.do(context.Background(), http.MethodPost, protocol.PathChat, chatJSON(true, "x"), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(protocol.HeaderOutcome)).To(Equal("not-run"))
		Expect(resp.Header.Get(protocol.HeaderRetryAfter)).NotTo(BeEmpty())
		Expect(resp.Header.Get(protocol.HeaderRequestID)).NotTo(BeEmpty())
	})
	It("ends at its caller's deadline", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{})
		f.engines[0].SetFaults(standin.Faults{Stall: time.Hour})
		resp, err := f.do(context.Background(), http.MethodPost, protocol.PathChat, chatJSON(true, "x"), map[string]string{protocol.HeaderTimeoutMS: "100"})
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(resp.Header.Get(protocol.HeaderReason)).To(Equal(string(coordination.ReasonDeadline)))
	})
	It("works with the OpenAI client library", func() {
		f := newFixture(GinkgoTB(), fixtureOptions{})
		client := openai.NewClient(option.WithBaseURL(f.gateway.URL+"/v1"), option.WithAPIKey(testKey))
		params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
		whole, err := client.Chat.Completions.New(context.Background(), params)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Choices[0].Message.Content).To(Equal(wantAnswer("hello", words)))
		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		text := ""
		for stream.Next() {
			for _, c := range stream.Current().Choices {
				text += c.Delta.Content
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text).To(Equal(wantAnswer("hello", words)))
		models, err := client.Models.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data[0].ID).To(Equal("m"))
		params.Model = "secret"
		_, err = client.Chat.Completions.New(context.Background(), params)
		var apiErr *openai.Error
		Expect(err).To(BeAssignableToTypeOf(apiErr))
	})
	It("forwards tools and unknown fields unchanged", func() {
		var got atomic.Value
		echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			got.Store(string(body))
			_, _ = io.WriteString(w, "{}")
		})
		f := newFixture(GinkgoTB(), fixtureOptions{extra: []http.Handler{echo}})
		f.engines[0].SetFaults(standin.Faults{Refuse: true})
		body := `{"x_new": {"a": [1, 2.50]}, "model":"m", "tools":[{"type":"function"}],  "messages":[{"role":"user","content":"x"}]}`
		resp, err := f.do(context.Background(), http.MethodPost, protocol.PathChat, []byte(body), nil)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(got.Load()).To(Equal(body))
	})
})
