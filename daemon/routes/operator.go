// This file serves operators and scrapers: status, members, replicas, what is held back, time
// line and metrics, to be read only, and the release of what is held back. The names of the
// fields are published.

package routes

import (
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

// Paths of the operators' listener.
const (
	PathStatus   = "/status"
	PathMembers  = "/members"
	PathReplicas = "/replicas"
	PathMetrics  = "/metrics"
	// PathHeld lists the contents that are held back. A POST to PathRelease with a content
	// lets it be sent again, at all daemons.
	PathHeld    = "/held"
	PathRelease = "/release"
	// A POST to PathLift with a replica ends the rest that it asked this daemon for.
	PathLift = "/lift"
)

// StatusAnswer is the answer to GET /status.
type StatusAnswer struct {
	Daemon      state.DaemonID        `json:"daemon"`
	Domain      state.FailureDomain   `json:"domain"`
	Ready       bool                  `json:"ready"`
	Stopping    bool                  `json:"stopping"`
	UptimeMS    int64                 `json:"uptime_ms"`
	Version     routing.ConfigVersion `json:"config_version"`
	Revision    feed.Revision         `json:"revision"`
	Era         feed.Era              `json:"era"`            // of the revision: how often the store came back from a copy
	ChangedMS   int64                 `json:"changed_ms_ago"` // since the documents changed; -1: never
	StoreLost   bool                  `json:"store_lost"`
	ReadsStore  bool                  `json:"reads_store"`
	Daemons     int                   `json:"daemons"`
	Routes      int                   `json:"routes"`
	Replicas    int                   `json:"replicas"`
	LinesLost   int64                 `json:"log_lines_left_out"`
	Connections int                   `json:"idle_connections"`
	// Evacuated are the failure domains that operators evacuate.
	Evacuated []state.FailureDomain `json:"evacuated_domains"`
	Cold      int                   `json:"cold_replicas"`
	// Build is the revision that the program was built from, and Reads the kinds of messages of
	// other daemons that it reads: two builds side by side show here.
	Build string   `json:"build"`
	Reads []string `json:"reads"`
}

// MemberAnswer is one daemon in the answer to GET /members.
type MemberAnswer struct {
	Address     membership.Address     `json:"address"`
	Domain      state.FailureDomain    `json:"domain"`
	Incarnation membership.Incarnation `json:"life"`
	Leaving     bool                   `json:"leaving"`
}

// HeldAnswer is one content in the answer to GET /held.
type HeldAnswer struct {
	Content string `json:"content"` // as in the log
	// Workspace is empty if the configuration in force has none of the caller's.
	Workspace routing.WorkspaceName `json:"workspace"`
	Replicas  []string              `json:"replicas"` // that ended; a number for one that is not known any more
	EndedMS   int64                 `json:"ended_ms"` // since the last of them ended
	Refused   int                   `json:"refused"`  // requests that this daemon held back
}

// askTimeout bounds how long an operator waits for the control loop.
const askTimeout = time.Second

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		ask(d.control, w, r, func(reply chan StatusAnswer) event { return statusAsked{reply} }, d.completeStatus)
	})
	mux.HandleFunc("GET "+PathMembers, func(w http.ResponseWriter, r *http.Request) {
		ask(d.control, w, r, func(reply chan []MemberAnswer) event { return membersAsked{reply} }, nil)
	})
	mux.HandleFunc("GET "+PathReplicas, func(w http.ResponseWriter, r *http.Request) {
		ask(d.control, w, r, func(reply chan []ReplicaAnswer) event { return replicasAsked{reply} }, nil)
	})
	mux.HandleFunc("GET "+PathHeld, func(w http.ResponseWriter, r *http.Request) {
		ask(d.control, w, r, func(reply chan []HeldAnswer) event { return heldAsked{reply} }, nil)
	})
	mux.HandleFunc("POST "+PathRelease, d.release)
	mux.HandleFunc("POST "+PathLift, d.liftRest)
	mux.HandleFunc("GET "+transport.PathTimeline, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, d.Log.timeline.Events())
	})
	mux.Handle("GET "+PathMetrics, d.metricsHandler())
	return mux
}

// metricsHandler serves the figures to scrapers.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		_ = d.Metrics.WriteText(w) // the scraper comes again
	})
	return mux
}

// ask puts a question to the control loop and writes its answer, after complete, if
// there is one, has added what the loop does not know.
func ask[T any](c *control, w http.ResponseWriter, r *http.Request, question func(reply chan T) event, complete func(*T)) {
	a, ok := await(c, w, r, question)
	if !ok {
		return
	}
	if complete != nil {
		complete(&a)
	}
	writeJSON(w, a)
}

// await puts a question to the control loop. Where there is no answer it says so to the
// operator, and returns false.
func await[T any](c *control, w http.ResponseWriter, r *http.Request, question func(reply chan T) event) (a T, ok bool) {
	reply := make(chan T, 1)
	c.post(r.Context(), question(reply))
	select {
	case a = <-reply:
		return a, true
	case <-time.After(askTimeout):
		http.Error(w, "the control loop does not answer", http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return a, false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator sees a cut answer
}

// statusAnswer is what the control loop knows of the status.
func (c *control) statusAnswer(now time.Time) StatusAnswer {
	a := StatusAnswer{
		Domain: c.domain, Revision: c.catalog.feed.Revision(), Era: c.catalog.feed.Position().Era, ChangedMS: -1, StoreLost: c.storeLost,
		ReadsStore: c.readPlan.Load().Reads, Daemons: c.daemons, Replicas: len(c.catalog.replicas),
		Evacuated: c.catalog.evacuations.Domains(),
	}
	for _, p := range c.view.Load().Pools {
		for i := range p.Ready {
			if p.Ready[i].IsCold(now) {
				a.Cold++
			}
		}
	}
	if t := c.catalog.table; t != nil {
		a.Version, a.Routes = t.Version, t.RouteCount()
	}
	if at := c.catalog.changedAt; !at.IsZero() {
		a.ChangedMS = now.Sub(at).Milliseconds()
	}
	return a
}

// completeStatus adds what the daemon knows beside the control loop.
func (d *Daemon) completeStatus(a *StatusAnswer) {
	a.Daemon, a.Ready, a.Stopping = d.settings.ID, d.ready(), d.Stopping()
	a.UptimeMS = clock.Since(d.started).Milliseconds()
	a.Build, a.Reads = buildRevision(), gossip.Kinds()
	a.LinesLost, a.Connections = d.Log.writer.droppedTotal(), d.pool.Idle()
}

// shownRevision is how many characters of a revision are shown.
const shownRevision = 12

// buildRevision returns the revision that the program was built from, with a plus if it was
// changed, or "unknown".
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), shownRevision)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}

func (c *control) memberAnswers(now time.Time) []MemberAnswer {
	out := []MemberAnswer{}
	for _, m := range append([]membership.Member{c.roster.Self()}, c.roster.Live(now)...) {
		out = append(out, MemberAnswer{Address: m.Address, Domain: m.Domain, Incarnation: m.Incarnation, Leaving: m.Leaving})
	}
	return out
}

// heldAnswers lists what is held back.
func (c *control) heldAnswers(now time.Time) []HeldAnswer {
	out := []HeldAnswer{}
	for _, h := range c.crashes.AllHeld(now) {
		a := HeldAnswer{Content: h.Content.String(), Workspace: c.workspace(h.Caller), EndedMS: h.For.Milliseconds(), Refused: h.Refused}
		for _, key := range h.Replicas {
			a.Replicas = append(a.Replicas, c.replicaName(key))
		}
		out = append(out, a)
	}
	return out
}

// workspace returns the workspace of a caller, if the configuration has it.
func (c *control) workspace(caller routing.CallerKey) routing.WorkspaceName {
	if c.catalog.table == nil {
		return ""
	}
	name, _ := c.catalog.table.WorkspaceOf(caller)
	return name
}

// replicaName returns the id of a replica, or its number if it is gone.
func (c *control) replicaName(key routing.LoadKey) string {
	if id, ok := c.view.Load().ReplicaID(key); ok {
		return string(id)
	}
	return strconv.FormatUint(uint64(key), 10)
}

// release lets a content be sent again, here and, by the report that goes out, at all daemons.
func (c *control) release(content routing.ContentKey, now time.Time) bool {
	known := c.crashes.Acquit(content, now)
	if known {
		c.log.Released(content)
	}
	return known
}

// release answers an operator who lets a content be sent again.
func (d *Daemon) release(w http.ResponseWriter, r *http.Request) {
	content, err := routing.ParseContentKey(r.URL.Query().Get("content"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order(d.control, w, r, func(reply chan bool) event { return releaseAsked{content, reply} },
		"no replica is known to have ended under this content; GET "+PathHeld+" lists those that are held back")
}

// order has the control loop do what an operator asks for. Where there is nothing to do it says so.
func order(c *control, w http.ResponseWriter, r *http.Request, question func(reply chan bool) event, nothing string) {
	done, ok := await(c, w, r, question)
	switch {
	case !ok:
	case done:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, nothing, http.StatusNotFound)
	}
}
