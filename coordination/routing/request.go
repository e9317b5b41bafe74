// This file defines a request as the decisions see it.

package routing

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// RequestID names one request as its caller sent it. A caller's retry has a new id.
type RequestID string

// PromptPart is one part of a prompt, in the order in which it is read.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Request is what the decisions need to know of a caller's request.
type Request struct {
	ID       RequestID
	Content  ContentKey
	Route    *Route
	Service  ServiceName
	Model    string
	Prompt   []PromptPart
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's
}

// SharedTokens returns how many tokens of the prompt other requests share: all
// parts but the last, which belongs to this request or its session.
func (r *Request) SharedTokens() Tokens {
	var n Tokens
	for _, p := range r.shared() {
		n += p.Tokens
	}
	return n
}

func (r *Request) shared() []PromptPart {
	if len(r.Prompt) > 1 {
		return r.Prompt[:len(r.Prompt)-1]
	}
	return r.Prompt
}

// Key returns the placement key: a hash of the model and the shared parts.
// Requests with one key read the same cached prompt. A request without a prompt
// has a key of its own.
func (r *Request) Key() uint64 {
	if len(r.Prompt) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Model) // a hash takes every write
	for _, p := range r.shared() {
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(p.ID)
	}
	return d.Sum64()
}

// Tried is what became of a request's earlier attempts.
type Tried struct {
	Replicas []ReplicaID // that were chosen for it
	// BeyondReach means that a replica of another domain could not be reached: the
	// links between the domains may be cut.
	BeyondReach bool
}

// ContentKey names what a request is, whatever id it comes under: two requests with the
// same path, caller and body have the same key at all daemons. 0 means that it is not known.
type ContentKey uint64

// NewContentKey returns the key of a request. The caller is its workspace: a replica is shown
// nothing else of who asks, so that the same bytes from one workspace are one request to it.
// The query belongs to the path.
func NewContentKey(host, target string, w WorkspaceName, body []byte) ContentKey {
	d := xxhash.New()
	for _, part := range []string{strings.ToLower(host), target, string(w)} {
		_, _ = d.WriteString(part) // a hash takes every write
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return ContentKey(max(1, d.Sum64()))
}

// String returns the key as logs and operators' answers show it.
func (k ContentKey) String() string { return strconv.FormatUint(uint64(k), 36) }

// ParseContentKey is the reverse of [ContentKey.String].
func ParseContentKey(text string) (ContentKey, error) {
	n, err := strconv.ParseUint(text, 36, 64)
	if err != nil || n == 0 {
		return 0, eris.Errorf("%q is no content key; take one from the log or from the list of what is held back", text)
	}
	return ContentKey(n), nil
}
