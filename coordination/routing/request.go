// The request as the routing decisions see it.

package routing

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// RequestID identifies a request as its caller sent it. A retry by the caller has a new id.
type RequestID string

// PromptPart is one part of a prompt. The parts are in the order in which the replica reads them.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Request is the part of a caller's request that the routing decisions need.
type Request struct {
	ID       RequestID
	Content  ContentKey
	Route    *Route
	Service  ServiceName
	Former   ServiceName // of a stream without a record, as the route's split has changed; empty: Service (split.go)
	Model    string
	Prompt   []PromptPart
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's deadline and the route's
}

// SharedTokens returns how many tokens of the prompt are shared with other requests: all parts
// but the last, which is specific to this request or its session.
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

// Key returns the placement key: a hash of the model and the shared parts of the prompt. Requests
// with the same key use the same cached prompt. Without a prompt it is a hash of the request's
// id.
func (r *Request) Key() uint64 {
	if len(r.Prompt) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Model) // writing to a hash never fails
	for _, p := range r.shared() {
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(p.ID)
	}
	return d.Sum64()
}

// Tried describes the earlier attempts of a request.
type Tried struct {
	Replicas []ReplicaID // that were chosen before
	// RemoteUnreachable means that a replica of another domain was unreachable: the links between
	// the domains may be down.
	RemoteUnreachable bool
	// Version is the software version at which the request's stream began, to which it is bound; 0: it has
	// not begun.
	Version VersionKey
	// AcceptsNew means that the stream may begin at a new version (establishment.go), since the coordinator of the service has no
	// place at another one.
	AcceptsNew bool
}

// BindUncertain binds the request's stream to no version that is certain.
func (t *Tried) BindUncertain() { t.Version = uncertainVersion }

// ContentKey identifies the content of a request, independent of the request's id: two requests
// with the same path, caller and body have the same key at all daemons. 0 means that it is not
// known.
type ContentKey uint64

// NewContentKey returns the content key of a request. The caller is represented by its workspace:
// replicas see nothing else of the caller, so the same bytes from one workspace are the same
// request to them. The path includes the query.
func NewContentKey(host, target string, w WorkspaceName, body []byte) ContentKey {
	d := xxhash.New()
	for _, part := range []string{strings.ToLower(host), target, string(w)} {
		_, _ = d.WriteString(part) // writing to a hash never fails
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return ContentKey(max(1, d.Sum64()))
}

// String returns the key in the form that logs and operator responses show.
func (k ContentKey) String() string { return strconv.FormatUint(uint64(k), 36) }

// ParseContentKey parses the result of [ContentKey.String].
func ParseContentKey(text string) (ContentKey, error) {
	n, err := strconv.ParseUint(text, 36, 64)
	if err != nil || n == 0 {
		return 0, eris.Errorf("%q is not a content key; copy one from the log or from the list of quarantined requests", text)
	}
	return ContentKey(n), nil
}
