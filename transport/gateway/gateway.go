// This file defines the server for callers: paths, authentication and limits. Chats
// and plain services are served in files of their own.

package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// Paths of the gateway in addition to those of the OpenAI protocol.
const (
	PathServices = "/services/"
	PathTickets  = "/v1/tickets"
	PathReady    = "/-/ready"
)

// Limits are the limits for callers and their requests.
type Limits struct {
	BodyBytes     int64         // largest request body
	AnswerBytes   int64         // largest response that is not streamed
	Timeout       time.Duration // default and maximum for a request
	StreamIdle    time.Duration // longest time without an event in a stream
	CallerStall   time.Duration // longest time in which a caller reads or sends nothing
	MaxResumes    int           // resumes of one stream
	ResumeBackoff time.Duration // before the second resume, doubled each time
}

// DefaultLimits returns the limits that apply unless the settings say
// otherwise.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:     8 << 20,
		AnswerBytes:   32 << 20,
		Timeout:       10 * time.Minute,
		StreamIdle:    60 * time.Second,
		CallerStall:   60 * time.Second,
		MaxResumes:    3,
		ResumeBackoff: 50 * time.Millisecond,
	}
}

// Options are the components and settings of a Gateway.
type Options struct {
	Daemon    state.DaemonID
	Snapshot  func() *state.Snapshot
	Post      func(fleet.Event) // sends an event to the control loop; must not block
	Upstreams *Upstreams
	Once      *OnceRunner
	Recorder  *transport.Recorder
	Metrics   *Metrics
	Limits    Limits
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	draining atomic.Bool
	retries  *retries
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{Options: o, retries: newRetries(o.Metrics)}
}

// Drain makes the health check fail and asks callers to close their connections after
// the current request. Requests that still arrive are served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// call is one request of a caller.
type call struct {
	id        state.RequestID
	w         http.ResponseWriter
	r         *http.Request
	snapshot  *state.Snapshot
	workspace *state.Workspace
	started   time.Time
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == PathReady {
		g.serveReady(w)
		return
	}
	g.Metrics.Requests.Inc(1)
	c := &call{id: requestID(r), w: w, r: r, snapshot: g.Snapshot(), started: time.Now()}
	w.Header().Set(protocol.HeaderRequestID, string(c.id))
	w.Header().Set(protocol.HeaderDaemon, string(g.Daemon))
	if !g.admit(c) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.timeout(r))
	defer cancel()
	c.r = r.WithContext(ctx)
	switch {
	case r.URL.Path == protocol.PathChat:
		g.serveChat(c)
	case r.URL.Path == protocol.PathModels:
		g.serveModels(c)
	case r.URL.Path == PathTickets:
		g.serveTickets(c)
	case strings.HasPrefix(r.URL.Path, PathServices):
		g.serveService(c)
	default:
		g.reject(c, http.StatusNotFound, "not_found", "", "path is not served; use /v1/chat/completions, /v1/models, /v1/tickets or /services/NAME/")
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter) {
	s := g.Snapshot()
	switch {
	case g.draining.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case s == nil || s.Config == nil || s.Members == nil:
		http.Error(w, "no configuration or member list is known", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ready")
	}
}

// admit checks that a configuration is known and authenticates the caller.
func (g *Gateway) admit(c *call) bool {
	if c.snapshot == nil || c.snapshot.Config == nil || c.snapshot.Members == nil {
		g.refuse(c, coordination.NotRun{Reason: coordination.ReasonNoConfig, RetryAfter: defaultRetryTime})
		return false
	}
	scheme, key, _ := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		g.reject(c, http.StatusUnauthorized, "missing_api_key", "", "no API key was sent; send it as Authorization: Bearer KEY")
		return false
	}
	c.workspace = c.snapshot.Config.Authenticate(strings.TrimSpace(key))
	if c.workspace == nil {
		g.reject(c, http.StatusUnauthorized, "invalid_api_key", "", "API key is not known; check it or ask the operators for one of your workspace")
		return false
	}
	return true
}

// maxRequestID is the longest request id that is accepted from a caller.
const maxRequestID = 128

// requestID returns the caller's request id if it is short and printable, and a random
// one otherwise.
func requestID(r *http.Request) state.RequestID {
	id := r.Header.Get(protocol.HeaderRequestID)
	if id != "" && len(id) <= maxRequestID && isPrintable(id) {
		return state.RequestID(id)
	}
	return state.RequestID(randomID())
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

const randomIDBytes = 12

func randomID() string {
	var b [randomIDBytes]byte
	// crypto/rand does not fail on the systems that Go supports.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// timeout returns the caller's timeout if it is below the default, or the default.
func (g *Gateway) timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(protocol.HeaderTimeoutMS), 10, 64)
	if err != nil || ms <= 0 || ms > g.Limits.Timeout.Milliseconds() {
		return g.Limits.Timeout
	}
	return time.Duration(ms) * time.Millisecond
}

// readBody reads the request body or rejects the request. A caller that sends it too
// slowly is cut off. The deadline applies to the body only: the server keeps reading
// to notice that the caller disconnects. (net/http resets the deadline by itself when
// it starts that; this function does not rely on it.)
func (g *Gateway) readBody(c *call) ([]byte, bool) {
	conn := http.NewResponseController(c.w)
	_ = conn.SetReadDeadline(time.Now().Add(g.Limits.CallerStall))
	body, err := protocol.ReadBounded(c.r.Body, c.r.ContentLength, g.Limits.BodyBytes)
	_ = conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return body, true
	case errors.Is(err, protocol.ErrTooLarge):
		c.w.Header().Set("Connection", "close")
		g.reject(c, http.StatusRequestEntityTooLarge, "body_too_large", "", fmt.Sprintf("body is larger than %d bytes; send less", g.Limits.BodyBytes))
	default:
		c.w.Header().Set("Connection", "close")
		g.reject(c, http.StatusBadRequest, "body_incomplete", "", "body could not be read to its end; send it again")
	}
	return nil, false
}

// requireMethod rejects requests with another method.
func (g *Gateway) requireMethod(c *call, method string) bool {
	if c.r.Method == method {
		return true
	}
	c.w.Header().Set("Allow", method)
	g.reject(c, http.StatusMethodNotAllowed, "method_not_allowed", "", "use "+method)
	return false
}

func (g *Gateway) serveModels(c *call) {
	if g.requireMethod(c, http.MethodGet) {
		g.writeJSON(c, http.StatusOK, protocol.NewModelList(c.workspace.Models))
	}
}

func (g *Gateway) writeJSON(c *call, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		g.reject(c, http.StatusInternalServerError, "internal", "", "answer could not be encoded; report this request id")
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
}
