// This file defines what engines and services say of themselves. It is the one
// place to change for another engine's protocol.

package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// Paths that engines serve.
const (
	PathChat    = "/v1/chat/completions"
	PathModels  = "/v1/models"
	PathState   = "/v1/state"
	PathStreams = "/v1/streams/"
	PathOrders  = "/v1/orders"
	PathKV      = "/v1/kv/"
)

// UpstreamState is the answer to GET /v1/state?after=N&wait_ms=T. An upstream
// answers at once if its sequence number is above N and else when the wait
// ends.
type UpstreamState struct {
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"` // live or leaving
	Seq         uint64 `json:"seq"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	// Work is the outstanding work in thousandths of a request of average
	// cost. An upstream that does not give it is weighed by its requests.
	Work *uint32 `json:"work,omitempty"`
}

// StateTarget returns the request target of a state query.
func StateTarget(after uint64, wait time.Duration) string {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return PathState + "?" + q.Encode()
}

// ResumeTarget returns the request target that continues a stream after a
// position.
func ResumeTarget(stream string, after uint64) string {
	return PathStreams + url.PathEscape(stream) + "?after=" + strconv.FormatUint(after, 10)
}

// maxWork caps what one upstream can report, so that a wrong figure can't
// overflow sums.
const maxWork = 1_000_000

// ParseUpstreamState reads an upstream's state into an event for the control
// loop.
func ParseUpstreamState(id state.UpstreamID, body []byte) (fleet.UpstreamReported, uint64, error) {
	var s UpstreamState
	if err := json.Unmarshal(body, &s); err != nil {
		return fleet.UpstreamReported{}, 0, fmt.Errorf("state of %s is not valid JSON: %w", id, err)
	}
	st, err := state.ParseMemberState(s.State)
	if err != nil {
		return fleet.UpstreamReported{}, 0, fmt.Errorf("state of %s: %w", id, err)
	}
	work := 1000 * uint64(max(s.Running, 0)+max(s.Queued, 0))
	if s.Work != nil {
		work = uint64(*s.Work)
	}
	ev := fleet.UpstreamReported{
		ID:          id,
		Incarnation: state.Incarnation(s.Incarnation),
		State:       st,
		Load:        state.Load(min(work, maxWork)),
	}
	return ev, s.Seq, nil
}

// RefusedByUpstream reports whether an upstream's answer says that it did not
// run the request. A bare 429 or 503 does not say so: what stands in front of
// an engine may send it after the engine has begun.
func RefusedByUpstream(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderOutcome) == OutcomeNotRun
}
