// This file serves operators: status, replicas, members and metrics, all to be
// read only.

package routes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

// Paths of the operators' listener.
const (
	PathStatus   = "/status"
	PathMembers  = "/members"
	PathReplicas = "/replicas"
	PathMetrics  = "/metrics"
)

// StatusAnswer is the answer to GET /status.
type StatusAnswer struct {
	Daemon      state.DaemonID      `json:"daemon"`
	Domain      state.FailureDomain `json:"domain"`
	Ready       bool                `json:"ready"`
	Stopping    bool                `json:"stopping"`
	UptimeMS    int64               `json:"uptime_ms"`
	Version     routing.Version     `json:"config_version"`
	Revision    feed.Revision       `json:"revision"`
	ChangedMS   int64               `json:"changed_ms_ago"` // -1: never
	StoreLost   bool                `json:"store_lost"`
	ReadsStore  bool                `json:"reads_store"`
	Daemons     int                 `json:"daemons"`
	Routes      int                 `json:"routes"`
	Replicas    int                 `json:"replicas"`
	LinesLost   int64               `json:"log_lines_left_out"`
	Connections int                 `json:"idle_connections"`
}

// MemberAnswer is one daemon in the answer to GET /members.
type MemberAnswer struct {
	Address membership.Address  `json:"address"`
	Domain  state.FailureDomain `json:"domain"`
	Life    membership.Life     `json:"life"`
	Leaving bool                `json:"leaving"`
}

// ReplicaAnswer is one replica in the answer to GET /replicas.
type ReplicaAnswer struct {
	ID         routing.ReplicaID   `json:"id"`
	Service    routing.ServiceName `json:"service"`
	Domain     state.FailureDomain `json:"domain"`
	Address    string              `json:"address"`
	State      string              `json:"state"`
	Load       int                 `json:"load"`
	PassedOver bool                `json:"passed_over"`
	Why        string              `json:"why,omitempty"`
	FailRate   float64             `json:"fail_rate"`
}

// askTimeout bounds how long an operator waits for the control loop.
const askTimeout = time.Second

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) { d.ask(w, r, d.status) })
	mux.HandleFunc("GET "+PathMembers, func(w http.ResponseWriter, r *http.Request) { d.ask(w, r, d.members) })
	mux.HandleFunc("GET "+PathReplicas, func(w http.ResponseWriter, r *http.Request) { d.ask(w, r, d.replicas) })
	mux.HandleFunc("GET "+transport.PathTimeline, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.Log.timeline.Events())
	})
	mux.Handle("GET "+PathMetrics, d.metricsHandler())
	return mux
}

// metricsHandler serves the figures to scrapers.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		var b bytes.Buffer
		d.Metrics.WriteText(&b)
		_, _ = w.Write(b.Bytes())
	})
	return mux
}

// ask runs a question in the control loop and writes its answer.
func (d *Daemon) ask(w http.ResponseWriter, r *http.Request, question func(*control) any) {
	answer := make(chan any, 1)
	d.control.tell(r.Context(), query{run: func(c *control) { answer <- question(c) }})
	select {
	case a := <-answer:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	case <-time.After(askTimeout):
		http.Error(w, "the control loop does not answer", http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
}

func (d *Daemon) status(c *control) any {
	a := StatusAnswer{
		Daemon: d.settings.ID, Domain: d.settings.Domain, Ready: d.ready(), Stopping: d.Stopping(),
		UptimeMS: time.Since(d.started).Milliseconds(), Revision: c.feed.Revision(), ChangedMS: -1, StoreLost: c.storeIsLost,
		ReadsStore: c.reads.Load().reads, Daemons: c.daemons, Replicas: len(c.replicas), LinesLost: d.Log.writer.droppedTotal(),
		Connections: d.pool.Idle(),
	}
	if c.table != nil {
		a.Version, a.Routes = c.table.Version, c.table.Routes()
	}
	if !c.changedAt.IsZero() {
		a.ChangedMS = time.Since(c.changedAt).Milliseconds()
	}
	return a
}

func (d *Daemon) members(c *control) any {
	out := []MemberAnswer{}
	for _, m := range append([]membership.Member{c.roster.Entry()}, c.roster.Live(time.Now())...) {
		out = append(out, MemberAnswer{Address: m.Address, Domain: m.Domain, Life: m.Life, Leaving: m.Leaving})
	}
	return out
}

func (d *Daemon) replicas(c *control) any {
	out := []ReplicaAnswer{}
	now := time.Now()
	for _, p := range c.view.Load().Pools {
		for _, list := range [][]routing.Replica{p.Ready, p.Leaving} {
			for i := range list {
				r := &list[i]
				rate, why := c.health.Explain(r, now)
				out = append(out, ReplicaAnswer{
					ID: r.ID, Service: r.Service, Domain: r.Domain, Address: r.Address, State: stateName(r),
					Load: c.loads.Of(r.LoadKey()), PassedOver: why != "", Why: why, FailRate: rate,
				})
			}
		}
	}
	return out
}
