// This file implements the HTTP interface for operators and scrapers: queries for status, members,
// replicas, quarantined contents, permits, timeline and metrics, and the commands to release a quarantined
// content and to end a replica's backoff. The field names are part of the published interface.

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
	// PathHeld lists the quarantined contents. A POST to PathRelease with a content releases it at
	// all daemons.
	PathHeld    = "/held"
	PathRelease = "/release"
	// PathAdmission lists the permits for saturated services.
	PathAdmission = "/admission"
	// A POST to PathLift with a replica ends the backoff that the replica requested of this daemon.
	PathLift = "/lift"
)

// StatusAnswer is the response to GET /status.
type StatusAnswer struct {
	Daemon           state.DaemonID        `json:"daemon"`
	Domain           state.FailureDomain   `json:"domain"`
	Ready            bool                  `json:"ready"`
	Stopping         bool                  `json:"stopping"`
	UptimeMS         int64                 `json:"uptime_ms"`
	Version          routing.ConfigVersion `json:"config_version"`
	Revision         feed.Revision         `json:"revision"`
	Era              feed.Era              `json:"era"`            // of the revision: how often the store was restored from a backup
	ChangedMS        int64                 `json:"changed_ms_ago"` // since the documents changed; -1: never
	StoreUnreachable bool                  `json:"store_lost"`
	ReadsStore       bool                  `json:"reads_store"`
	Daemons          int                   `json:"daemons"`
	Routes           int                   `json:"routes"`
	Replicas         int                   `json:"replicas"`
	LogLinesDropped  int64                 `json:"log_lines_left_out"`
	Connections      int                   `json:"idle_connections"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []state.FailureDomain `json:"evacuated_domains"`
	Cold      int                   `json:"cold_replicas"`
	// Build is the revision that the program was built from, and Reads lists the kinds of messages
	// that it accepts from other daemons. They show if two builds run side by side.
	Build string   `json:"build"`
	Reads []string `json:"reads"`
	// LostLinks lists the services that this daemon does not reach on connections of its own.
	LostLinks []LostLinksAnswer `json:"lost_links,omitempty"`
}

// LostLinksAnswer is a service that a daemon does not reach on connections of its own.
type LostLinksAnswer struct {
	Service routing.ServiceName `json:"service"`
	// Confirmed means that probes reached no replica either, and Detoured that another daemon reaches
	// the replicas.
	Confirmed bool  `json:"confirmed"`
	Detoured  bool  `json:"detoured"`
	SinceMS   int64 `json:"since_ms"`
	// Through lists the daemons that open connections for this one.
	Through []routing.PeerID `json:"through"`
}

// MemberAnswer is one daemon in the response to GET /members.
type MemberAnswer struct {
	Address     membership.Address     `json:"address"`
	Domain      state.FailureDomain    `json:"domain"`
	Incarnation membership.Incarnation `json:"life"`
	Leaving     bool                   `json:"leaving"`
}

// Kinds of what is quarantined, in responses to operators.
const (
	heldContent = "content"
	heldPart    = "part"
)

// HeldAnswer is one content, or one part of prompts, in the response to GET /held.
type HeldAnswer struct {
	Content string `json:"content"` // as in the log
	// Kind is "content", or "part" if requests with a part of prompts are quarantined. Part is the id of
	// the part; empty for a content, and if this daemon has not got a request with it.
	Kind string `json:"kind"`
	Part string `json:"part,omitempty"`
	// Workspace is empty if the active configuration no longer has the caller's workspace.
	Workspace routing.WorkspaceName `json:"workspace"`
	Replicas  []string              `json:"replicas"` // that crashed; a number for a replica that is no longer known
	CrashedMS int64                 `json:"ended_ms"` // since the last of them crashed
	Refused   int                   `json:"refused"`  // requests that this daemon refused
}

// queryTimeout bounds the wait for the control loop's reply to an operator.
const queryTimeout = time.Second

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(d.control, w, r, func(reply chan StatusAnswer) event { return statusQuery{reply} }, d.completeStatus)
	})
	mux.HandleFunc("GET "+PathMembers, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(d.control, w, r, func(reply chan []MemberAnswer) event { return membersQuery{reply} }, nil)
	})
	mux.HandleFunc("GET "+PathReplicas, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(d.control, w, r, func(reply chan []ReplicaAnswer) event { return replicasQuery{reply} }, nil)
	})
	mux.HandleFunc("GET "+PathHeld, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(d.control, w, r, func(reply chan []HeldAnswer) event { return quarantineQuery{reply} }, nil)
	})
	mux.HandleFunc("GET "+PathAdmission, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(d.control, w, r, func(reply chan []AdmissionAnswer) event { return admissionQuery{reply} }, nil)
	})
	mux.HandleFunc("POST "+PathRelease, d.release)
	mux.HandleFunc("POST "+PathLift, d.liftBackoff)
	mux.HandleFunc("GET "+transport.PathTimeline, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, d.Log.timeline.Events())
	})
	mux.Handle("GET "+PathMetrics, d.metricsHandler())
	return mux
}

// metricsHandler serves the metrics to scrapers.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		_ = d.Metrics.WriteText(w) // the scraper retries
	})
	return mux
}

// serveQuery sends a query to the control loop and writes the reply as JSON. complete, unless nil,
// first adds what the control loop does not know.
func serveQuery[T any](c *control, w http.ResponseWriter, r *http.Request, newEvent func(reply chan T) event, complete func(*T)) {
	a, ok := awaitReply(c, w, r, newEvent)
	if !ok {
		return
	}
	if complete != nil {
		complete(&a)
	}
	writeJSON(w, a)
}

// awaitReply sends a query to the control loop and waits for the reply. If there is none, it
// responds with an error and returns false.
func awaitReply[T any](c *control, w http.ResponseWriter, r *http.Request, newEvent func(reply chan T) event) (a T, ok bool) {
	reply := make(chan T, 1)
	c.post(r.Context(), newEvent(reply))
	select {
	case a = <-reply:
		return a, true
	case <-time.After(queryTimeout):
		http.Error(w, "the control loop does not respond", http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return a, false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator sees the truncated response
}

// statusAnswer returns the part of the status that the control loop knows.
func (c *control) statusAnswer(now time.Time) StatusAnswer {
	a := StatusAnswer{
		Domain: c.domain, Revision: c.catalog.feed.Revision(), Era: c.catalog.feed.Position().Era, ChangedMS: -1, StoreUnreachable: c.storeUnreachable,
		ReadsStore: c.readPlan.Load().Reads, Daemons: c.daemons, Replicas: len(c.catalog.replicas),
		Evacuated: c.catalog.evacuations.Domains(),
	}
	a.LostLinks = c.lostLinksAnswers(now)
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

// completeStatus adds the part of the status that the control loop does not know.
func (d *Daemon) completeStatus(a *StatusAnswer) {
	a.Daemon, a.Ready, a.Stopping = d.settings.ID, d.ready(), d.Stopping()
	a.UptimeMS = clock.Since(d.started).Milliseconds()
	a.Build, a.Reads = buildRevision(), gossip.Kinds()
	a.LogLinesDropped, a.Connections = d.Log.writer.droppedTotal(), d.pool.Idle()
}

// buildRevisionLength is the number of characters shown of the build's revision.
const buildRevisionLength = 12

// buildRevision returns the revision that the program was built from, or "unknown". A plus sign
// marks a build from a modified work tree.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), buildRevisionLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}

// lostLinksAnswers lists the services that this daemon does not reach on connections of its own.
func (c *control) lostLinksAnswers(now time.Time) []LostLinksAnswer {
	through := []routing.PeerID{}
	for _, r := range c.carriers.InUse() {
		through = append(through, r.Peer)
	}
	var out []LostLinksAnswer
	for _, l := range c.reach.Lost() {
		out = append(out, LostLinksAnswer{
			Service: l.Service, Confirmed: l.State == routing.LinksDown, Detoured: l.Detoured, SinceMS: now.Sub(l.Since).Milliseconds(), Through: through,
		})
	}
	return out
}

func (c *control) memberAnswers(now time.Time) []MemberAnswer {
	out := []MemberAnswer{}
	for _, m := range append([]membership.Member{c.roster.Self()}, c.roster.Live(now)...) {
		out = append(out, MemberAnswer{Address: m.Address, Domain: m.Domain, Incarnation: m.Incarnation, Leaving: m.Leaving})
	}
	return out
}

// quarantinedAnswers lists the quarantined contents and parts of prompts.
func (c *control) quarantinedAnswers(now time.Time) []HeldAnswer {
	out := c.heldAnswers(heldContent, c.crashes.AllQuarantined(now))
	return append(out, c.heldAnswers(heldPart, c.partCrashes.AllQuarantined(now))...)
}

func (c *control) heldAnswers(kind string, list []routing.QuarantinedContent) []HeldAnswer {
	out := []HeldAnswer{}
	for _, h := range list {
		a := HeldAnswer{Content: h.Content.String(), Kind: kind, Part: h.Part, Workspace: c.workspace(h.Caller), CrashedMS: h.For.Milliseconds(), Refused: h.Refused}
		for _, key := range h.Replicas {
			a.Replicas = append(a.Replicas, c.replicaName(key))
		}
		out = append(out, a)
	}
	return out
}

// workspace returns the workspace of a caller, or "" if the active configuration lacks it.
func (c *control) workspace(caller routing.CallerKey) routing.WorkspaceName {
	if c.catalog.table == nil {
		return ""
	}
	name, _ := c.catalog.table.WorkspaceOf(caller)
	return name
}

// replicaName returns the id of a replica, or its key as a number if the replica is no longer in
// the view.
func (c *control) replicaName(key routing.LoadKey) string {
	if id, ok := c.view.Load().ReplicaID(key); ok {
		return string(id)
	}
	return strconv.FormatUint(uint64(key), 10)
}

// release releases a quarantined content or part of prompts, here and, by a report to the peers, at all daemons. It
// returns false if the content is not known.
func (c *control) release(content routing.ContentKey, now time.Time) bool {
	released := c.crashes.Clear(content, now) || c.partCrashes.Clear(content, now)
	if released {
		c.log.Released(content)
	}
	return released
}

// release handles an operator's command to release a quarantined content.
func (d *Daemon) release(w http.ResponseWriter, r *http.Request) {
	content, err := routing.ParseContentKey(r.URL.Query().Get("content"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	serveCommand(d.control, w, r, func(reply chan bool) event { return releaseCommand{content, reply} },
		"no replica is known to have crashed while serving this content; GET "+PathHeld+" lists the quarantined contents")
}

// serveCommand has the control loop execute an operator's command. If the control loop found nothing to
// do, it responds with status 404 and the text in notFound.
func serveCommand(c *control, w http.ResponseWriter, r *http.Request, newEvent func(reply chan bool) event, notFound string) {
	done, ok := awaitReply(c, w, r, newEvent)
	switch {
	case !ok:
	case done:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, notFound, http.StatusNotFound)
	}
}
