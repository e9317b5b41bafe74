// This file defines the protocol in which engines and services report their state.
// Support for another engine protocol requires changes only here.

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

// Paths served by engines.
const (
	PathChat    = "/v1/chat/completions"
	PathModels  = "/v1/models"
	PathState   = "/v1/state"
	PathStreams = "/v1/streams/"
	PathOrders  = "/v1/orders"
	PathKV      = "/v1/kv/"
)

// UpstreamState is the response to GET /v1/state?after=N&wait_ms=T, a long poll.
// An upstream responds immediately if its sequence number is greater than N, and
// otherwise after T at the latest.
type UpstreamState struct {
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"` // live or leaving
	Seq         uint64 `json:"seq"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	// Work is the outstanding work in thousandths of a request of average
	// cost. If it is absent, the load is computed from Running and Queued.
	Work *uint32 `json:"work,omitempty"`
}

// StateTarget returns the request target of a state query, as described at
// [UpstreamState].
func StateTarget(after uint64, wait time.Duration) string {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return PathState + "?" + q.Encode()
}

// ResumeTarget returns the request target that resumes a stream after the event
// with the given sequence number.
func ResumeTarget(stream string, after uint64) string {
	return PathStreams + url.PathEscape(stream) + "?after=" + strconv.FormatUint(after, 10)
}

// maxWork caps the load that one upstream can report, so that an incorrect value
// cannot overflow sums.
const maxWork = 1_000_000

// ParseUpstreamState decodes an upstream's state into an event for the control
// loop. It also returns the sequence number of the state.
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

// RefusedByUpstream reports whether an upstream's response states that it did not
// run the request. A 429 or 503 without the outcome header is not enough: a proxy
// in front of an engine may send it after the engine has started.
func RefusedByUpstream(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderOutcome) == OutcomeNotRun
}
