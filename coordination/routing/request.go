// This file defines a request as the decisions see it.

package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestID names one try of a caller.
type RequestID string

// Part is one part of a prompt, in the order in which it is read.
type Part struct {
	ID     string
	Tokens int
}

// Request is what placement needs to know of a caller's request.
type Request struct {
	ID       RequestID
	Route    *Route
	Service  ServiceName
	Model    string
	Prompt   []Part
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's
}

// SharedTokens returns how many tokens of the prompt other requests share: all
// parts but the last, which belongs to this request or its session.
func (r *Request) SharedTokens() int {
	n := 0
	for _, p := range r.shared() {
		n += p.Tokens
	}
	return n
}

func (r *Request) shared() []Part {
	if len(r.Prompt) > 1 {
		return r.Prompt[:len(r.Prompt)-1]
	}
	return r.Prompt
}

// Key returns the placement key: a hash of the model and the shared parts.
// Requests with one key read the same cached prompt.
func (r *Request) Key() uint64 {
	if len(r.Prompt) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	for _, p := range r.shared() {
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(p.ID)
	}
	return d.Sum64()
}
