package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/internal/spec"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

func TestTransport(t *testing.T) { spec.Run(t, "gateway") }

const (
	testKey  = "key-of-w"
	otherKey = "key-of-w2"
)

var testConfig = fmt.Sprintf(`
version: 1
models: [{name: m}, {name: secret}]
engines: [{name: g, models: [m, secret]}]
services:
  - name: gate
    routes:
      - {prefix: /passes, repeat: never}
      - {prefix: /, repeat: allowed}
workspaces:
  - {name: w, keys: ["%s"], models: [m], services: [gate]}
  - {name: w2, keys: ["%s"], models: [m]}
`, state.HashKey(testKey), state.HashKey(otherKey))

// fixture is a gateway with its upstreams.
type fixture struct {
	engines  []*standin.Engine
	service  *standin.Service
	gateway  *httptest.Server
	metrics  *gateway.Metrics
	handler  *gateway.Gateway
	snapshot *state.Snapshot
	closers  []func()
}

type fixtureOptions struct {
	engine  standin.EngineOptions
	engines int
	limits  func(*gateway.Limits)
	extra   []http.Handler // handlers of additional engines
	answer  time.Duration  // longest wait for a response header
}

func newFixture(tb testing.TB, o fixtureOptions) *fixture {
	f := &fixture{service: standin.NewService(), metrics: gateway.NewMetrics()}
	var members []state.Member
	serve := func(kind state.MemberKind, group, id string, h http.Handler) {
		srv := httptest.NewServer(h)
		f.closers = append(f.closers, srv.Close)
		members = append(members, state.Member{ID: id, Kind: kind, Group: group, Domain: "a", Address: srv.Listener.Addr().String(), Incarnation: 1, State: state.Live})
	}
	for i := range max(o.engines, 1) {
		o.engine.ID = fmt.Sprintf("e%d", i)
		e := standin.NewEngine(o.engine)
		f.engines = append(f.engines, e)
		serve(state.KindEngine, "g", o.engine.ID, e)
	}
	for i, h := range o.extra {
		serve(state.KindEngine, "g", fmt.Sprintf("x%d", i), h)
	}
	serve(state.KindService, "gate", "s0", f.service)
	cfg, err := state.ParseConfig("fleet.yaml", []byte(testConfig))
	if err != nil {
		tb.Fatal(err)
	}
	f.snapshot = state.BuildSnapshot(state.Inputs{Config: cfg, Members: state.NewMemberList(1, nil, members), Hash: coordination.Hash})
	limits := gateway.DefaultLimits()
	if o.limits != nil {
		o.limits(&limits)
	}
	up := gateway.NewUpstreams(gateway.UpstreamOptions{AnswerTimeout: o.answer})
	rec := transport.NewRecorder("d1", nil)
	get := func() *state.Snapshot { return f.snapshot }
	f.handler = gateway.New(gateway.Options{
		Daemon: "d1", Snapshot: get, Post: func(fleet.Event) {}, Upstreams: up,
		Once: gateway.NewOnceRunner(gateway.OnceOptions{
			Self: "d1", Incarnation: 1, Secret: []byte("s"), Snapshot: get, Upstreams: up,
			Recorder: rec, Metrics: f.metrics, LedgerBytes: 1 << 20, AnswerBytes: 1 << 20,
		}),
		Recorder: rec, Metrics: f.metrics, Limits: limits,
	})
	f.gateway = httptest.NewServer(f.handler)
	f.closers = append(f.closers, f.gateway.Close, up.Close, f.metrics.Close)
	tb.Cleanup(func() {
		for i := len(f.closers) - 1; i >= 0; i-- {
			f.closers[i]()
		}
	})
	return f
}

func chatJSON(stream bool, content string) []byte {
	body, _ := json.Marshal(map[string]any{"model": "m", "stream": stream, "messages": []map[string]string{{"role": "user", "content": content}}})
	return body
}

// wantAnswer returns the response of a stand-in engine to a content.
func wantAnswer(content string, words int) string {
	raw, _ := json.Marshal(content)
	return strings.Join(standin.Completion(string(raw), words), "")
}

// do sends a request with the key of workspace w.
func (f *fixture) do(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.gateway.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

// result is the response to a chat as its caller received it.
type result struct {
	status  int
	text    string
	whole   bool
	failed  bool // an explicit error, by status or by event
	broken  bool // the connection broke before the end of the body
	outcome string
}

func (f *fixture) chat(stream bool, content string) result {
	resp, err := f.do(context.Background(), http.MethodPost, protocol.PathChat, chatJSON(stream, content), nil)
	if err != nil {
		return result{}
	}
	defer resp.Body.Close()
	r := result{status: resp.StatusCode, outcome: resp.Header.Get(protocol.HeaderOutcome)}
	if resp.StatusCode != http.StatusOK {
		r.failed = true
		return r
	}
	if !stream {
		return r.readWhole(resp.Body)
	}
	return r.readStream(resp.Body)
}

func (r result) readWhole(body io.Reader) result {
	var c struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.NewDecoder(body).Decode(&c) == nil && len(c.Choices) == 1 {
		r.text, r.whole = c.Choices[0].Message.Content, true
	}
	return r
}

func (r result) readStream(body io.Reader) result {
	events := protocol.NewEventReader(body)
	for {
		ev, err := events.Read()
		if err != nil {
			r.broken = err != io.EOF
			return r
		}
		if ev.IsEnd() {
			r.whole = true
			_, err := events.Read()
			r.whole = err == io.EOF
			return r
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *protocol.ErrorDetail `json:"error"`
		}
		if json.Unmarshal(ev.Data, &c) != nil {
			return r
		}
		if c.Error != nil {
			r.failed, r.outcome = true, c.Error.Outcome
		}
		for _, choice := range c.Choices {
			r.text += choice.Delta.Content
		}
	}
}

// eventually is how long tests wait for work in other goroutines.
const eventually = 10 * time.Second
