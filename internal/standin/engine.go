// This file implements a fake model engine. Its completions are a function of the request, so
// that a caller can check that it received its own completion in full.

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

// EngineOptions configures an engine.
type EngineOptions struct {
	ID              string
	Incarnation     uint64
	CacheTokens     int
	TokenInterval   time.Duration // time between tokens
	PrefillTime     time.Duration // time per 1000 prompt tokens that are not cached
	CompletionWords int
	ReportLag       time.Duration // maximum age of the reported load
}

// Faults are the faults of an engine. They can be changed while it runs.
type Faults struct {
	Refuse              bool          `json:"refuse"`       // responds with 503 and the outcome not-run
	Leaving             bool          `json:"leaving"`      // reports the state leaving, but still accepts requests
	AbortAfter          int           `json:"break_after"`  // breaks the connection after this many events
	TruncateAfter       int           `json:"end_after"`    // ends the body normally after this many events, without the final event
	Stall               time.Duration `json:"stall"`        // delay before the first event
	DuplicateEvents     bool          `json:"repeat"`       // sends each event twice
	SkipEvent           int           `json:"skip"`         // omits the event with this number, once
	LoseStreams         bool          `json:"forget"`       // does not find any stream on resume
	WrongStreamID       bool          `json:"foreign"`      // responds to a resume with a different stream id
	OmitEventIDs        bool          `json:"unnumbered"`   // sends events without ids
	AbortBeforeResponse bool          `json:"reset_before"` // breaks the connection before any response
}

// Engine is a fake model engine. It implements http.Handler.
type Engine struct {
	options EngineOptions
	faults  atomic.Pointer[Faults]
	mux     *http.ServeMux
	running atomic.Int64 // requests in progress

	mu         sync.Mutex
	cache      *prefixCache
	streams    map[string]*engineStream
	nextID     int
	stateSeq   uint64
	changed    chan struct{} // closed when stateSeq increases
	reported   int64         // the load that was last sampled
	reportedAt time.Time     // when it was sampled
	fence      uint64        // of the last accepted order
	orders     []string
	skipped    bool // whether Faults.SkipEvent has taken effect

	Requests  atomic.Int64 // accepted chat requests
	Cancelled atomic.Int64 // streams whose caller disconnected
}

// Defaults for EngineOptions.
const (
	defaultCacheTokens = 200_000
	defaultWords       = 12
)

// NewEngine returns an engine without faults.
func NewEngine(o EngineOptions) *Engine {
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	if o.CompletionWords == 0 {
		o.CompletionWords = defaultWords
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	e := &Engine{options: o, cache: newPrefixCache(o.CacheTokens), streams: make(map[string]*engineStream), changed: make(chan struct{}), stateSeq: 1}
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

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Store(&f)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.skipped = false
	e.advanceState()
}

// advanceState increments the state's sequence number and wakes waiting readers. The caller must hold e.mu.
func (e *Engine) advanceState() {
	e.stateSeq++
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// setFaults sets the faults from the JSON body of a request.
func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// turns returns the messages as text, with their roles.
func (b *chatBody) turns() []string {
	out := make([]string, len(b.Messages))
	for i, m := range b.Messages {
		out[i] = m.Role + ":" + string(m.Content)
	}
	return out
}

// Completion returns the words of the completion of a chat. lastContent is the content of
// the last message, as JSON.
func Completion(lastContent string, words int) []string {
	h := fnv.New64a()
	h.Write([]byte(lastContent))
	out := make([]string, words)
	for i := range out {
		out[i] = fmt.Sprintf("w%d-%08x ", i, uint32(h.Sum64()))
	}
	return out
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	faults := *e.faults.Load()
	if faults.Refuse {
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
	if faults.AbortBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	words := Completion(string(body.Messages[len(body.Messages)-1].Content), e.options.CompletionWords)
	usage := e.prefill(r, &body, strings.Join(words, ""))
	if !body.Stream {
		e.writeCompletion(w, &body, words, usage)
		return
	}
	id, s := e.newStream()
	w.Header().Set(protocol.HeaderStreamID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	go e.generate(s, &body, words, usage)
	pause(r, faults.Stall)
	e.sendEvents(w, r, s, 0, faults)
}

// usage is the number of tokens of a request.
type usage struct {
	Prompt     int          `json:"prompt_tokens"`
	Completion int          `json:"completion_tokens"`
	Total      int          `json:"total_tokens"`
	Details    usageDetails `json:"prompt_tokens_details"`
}

// usageDetails has the number of prompt tokens that were cached.
type usageDetails struct {
	Cached int `json:"cached_tokens"`
}

// prefill updates the cache with the prompt and its completion, and waits for the time that the tokens that
// were not cached take.
func (e *Engine) prefill(r *http.Request, body *chatBody, completion string) usage {
	turns := body.turns()
	completionJSON, _ := json.Marshal(completion)
	after := append(append([]string(nil), turns...), "assistant:"+string(completionJSON))
	hashes := hashPrefixes(body.Model, after)
	u := usage{Completion: tokens(completion)}
	e.mu.Lock()
	cachedTurns := e.cache.lookup(hashes[:len(turns)])
	e.cache.store(hashes, after)
	e.mu.Unlock()
	for i, t := range turns {
		u.Prompt += tokens(t)
		if i < cachedTurns {
			u.Details.Cached += tokens(t)
		}
	}
	u.Total = u.Prompt + u.Completion
	pause(r, e.options.PrefillTime*time.Duration(u.Prompt-u.Details.Cached)/1000)
	return u
}

// pause waits for a duration, or until the request is canceled.
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

// writeCompletion writes a response that is not streamed.
func (e *Engine) writeCompletion(w http.ResponseWriter, body *chatBody, words []string, u usage) {
	time.Sleep(e.options.TokenInterval * time.Duration(len(words)))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": "chatcmpl-" + e.options.ID, "object": "chat.completion", "model": body.Model, "usage": u,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": strings.Join(words, "")}}},
	})
}

// shortHash returns the first 8 bytes of a hash in hexadecimal.
func shortHash(h prefixHash) string { return hex.EncodeToString(h[:8]) }
