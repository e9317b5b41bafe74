// This file plays a model engine. Its answers are a function of the request, so
// that a caller can check that it got the whole of its own.

package standin

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/protocol"
)

// EngineOptions are the settings of an engine.
type EngineOptions struct {
	ID          string
	Incarnation uint64
	CacheTokens int
	TokenTime   time.Duration // between tokens
	PrefillTime time.Duration // for each 1000 tokens that are not cached
	AnswerWords int
	ReportLag   time.Duration // how old the load is that is reported
}

// Faults can be switched on while an engine runs.
type Faults struct {
	Refuse      bool          `json:"refuse"`       // 503 that says not-run
	Leaving     bool          `json:"leaving"`      // reports leaving, takes what comes
	BreakAfter  int           `json:"break_after"`  // breaks the connection after so many events
	EndAfter    int           `json:"end_after"`    // ends the body properly, without terminator
	Stall       time.Duration `json:"stall"`        // before the first event
	Repeat      bool          `json:"repeat"`       // sends each event twice
	Skip        int           `json:"skip"`         // leaves the event of that number out, once
	Forget      bool          `json:"forget"`       // can't resume
	Foreign     bool          `json:"foreign"`      // a resume returns another stream's id
	Unnumbered  bool          `json:"unnumbered"`   // numbers no events
	ResetBefore bool          `json:"reset_before"` // breaks the connection before an answer
}

// Engine is an http.Handler.
type Engine struct {
	o       EngineOptions
	faults  atomic.Pointer[Faults]
	mux     *http.ServeMux
	running atomic.Int64

	mu       sync.Mutex
	cache    *prefixCache
	streams  map[string]*engineStream
	nextID   int
	stateSeq uint64
	changed  chan struct{}
	reported int64
	reportAt time.Time
	fence    uint64
	orders   []string
	skipped  bool

	Requests  atomic.Int64
	Cancelled atomic.Int64
}

// Defaults of an engine.
const (
	defaultCacheTokens = 200_000
	defaultWords       = 12
)

// NewEngine returns an engine.
func NewEngine(o EngineOptions) *Engine {
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	if o.AnswerWords == 0 {
		o.AnswerWords = defaultWords
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	e := &Engine{o: o, cache: newPrefixCache(o.CacheTokens), streams: make(map[string]*engineStream), changed: make(chan struct{}), stateSeq: 1}
	e.faults.Store(&Faults{})
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+protocol.PathChat, e.chat)
	e.mux.HandleFunc("GET "+protocol.PathStreams+"{id}", e.resume)
	e.mux.HandleFunc("GET "+protocol.PathState, e.state)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.HandleFunc("POST "+protocol.PathOrders, e.order)
	e.mux.HandleFunc("POST "+protocol.PathKV+"export", e.exportKV)
	e.mux.HandleFunc("POST "+protocol.PathKV+"import", e.importKV)
	e.mux.HandleFunc("POST /faults", e.setFaults)
	return e
}

// SetFaults switches faults on, and all others off.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Store(&f)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.skipped = false
	e.bump()
}

func (e *Engine) bump() {
	e.stateSeq++
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP serves one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (b *chatBody) turns() []string {
	out := make([]string, len(b.Messages))
	for i, m := range b.Messages {
		out[i] = m.Role + ":" + string(m.Content)
	}
	return out
}

// Answer returns the words of the answer to a chat whose last message has the
// given content, as JSON.
func Answer(lastContent string, words int) []string {
	h := fnv.New64a()
	h.Write([]byte(lastContent))
	out := make([]string, words)
	for i := range out {
		out[i] = fmt.Sprintf("w%d-%08x ", i, uint32(h.Sum64()))
	}
	return out
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	f := *e.faults.Load()
	if f.Refuse {
		w.Header().Set(protocol.HeaderOutcome, protocol.OutcomeNotRun)
		w.Header().Set(protocol.HeaderRetryAfter, "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	var body chatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	e.Requests.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	if f.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	words := Answer(string(body.Messages[len(body.Messages)-1].Content), e.o.AnswerWords)
	usage := e.prefill(r, &body, strings.Join(words, ""))
	if !body.Stream {
		e.whole(w, &body, words, usage)
		return
	}
	id, s := e.newStream()
	w.Header().Set(protocol.HeaderStreamID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	go e.generate(s, &body, words, usage)
	pause(r, f.Stall)
	e.send(w, r, s, 0, f)
}

// usage counts the tokens of a request.
type usage struct {
	Prompt  int          `json:"prompt_tokens"`
	Answer  int          `json:"completion_tokens"`
	Total   int          `json:"total_tokens"`
	Details usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached int `json:"cached_tokens"`
}

func (e *Engine) prefill(r *http.Request, body *chatBody, answer string) usage {
	turns := body.turns()
	answerJSON, _ := json.Marshal(answer)
	after := append(append([]string(nil), turns...), "assistant:"+string(answerJSON))
	hashes := chain(body.Model, after)
	u := usage{Answer: tokens(answer)}
	e.mu.Lock()
	n := e.cache.hit(hashes[:len(turns)])
	e.cache.store(hashes, after)
	e.mu.Unlock()
	for i, t := range turns {
		u.Prompt += tokens(t)
		if i < n {
			u.Details.Cached += tokens(t)
		}
	}
	u.Total = u.Prompt + u.Answer
	pause(r, e.o.PrefillTime*time.Duration(u.Prompt-u.Details.Cached)/1000)
	return u
}

func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func (e *Engine) whole(w http.ResponseWriter, body *chatBody, words []string, u usage) {
	time.Sleep(e.o.TokenTime * time.Duration(len(words)))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": "chatcmpl-" + e.o.ID, "object": "chat.completion", "model": body.Model, "usage": u,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": strings.Join(words, "")}}},
	})
}

func hexOf(h prefixHash) string { return hex.EncodeToString(h[:8]) }
