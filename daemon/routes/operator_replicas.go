// This file handles operators' queries for the replicas, and their commands to end the backoff that
// a replica requested.

package routes

import (
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// ReplicaAnswer is one replica in the response to GET /replicas.
type ReplicaAnswer struct {
	ID        routing.ReplicaID   `json:"id"`
	Service   routing.ServiceName `json:"service"`
	Domain    state.FailureDomain `json:"domain"`
	Address   string              `json:"address"`
	State     string              `json:"state"`
	Version   string              `json:"version"` // of its software; empty if its entry gives none
	Load      int                 `json:"load"`    // number of requests, from all daemons
	Ejected   bool                `json:"passed_over"`
	Why       string              `json:"why,omitempty"` // why it gets no requests
	FailRate  float64             `json:"fail_rate"`     // share of failed requests, as counted by this daemon
	ColdMS    int64               `json:"cold_ms"`       // remaining time for which it is cold
	StartTime routing.StartTime   `json:"born"`          // when it started, in Unix milliseconds; 0 if its entry does not say
	// BackoffMS is the remaining backoff that the replica requested of this daemon, and BackoffBy the
	// request in whose response it did.
	BackoffMS int64             `json:"rest_ms"`
	BackoffBy routing.RequestID `json:"rest_by,omitempty"`
	Departing bool              `json:"leaving"` // it announced its departure in a response, whatever its entry says
}

// Reasons why a replica gets no or few requests, in addition to those of routing.Health.
const (
	whyEvacuated  = "its failure domain is evacuated"
	whyCold       = "it is cold and gets few requests or none"
	whyBackingOff = "it asked this daemon for rest"
	whyLeaving    = "it said in an answer that it leaves"
)

func (c *control) replicaAnswers(now time.Time) []ReplicaAnswer {
	out := []ReplicaAnswer{}
	for _, p := range c.view.Load().Pools {
		for _, list := range [][]routing.Replica{p.Ready, p.Draining} {
			for i := range list {
				out = append(out, c.replicaAnswer(&list[i], now))
			}
		}
		for i := range p.Evacuated {
			a := c.replicaAnswer(&p.Evacuated[i], now)
			a.Ejected, a.Why = true, whyEvacuated
			out = append(out, a)
		}
	}
	for _, e := range c.catalog.unusable {
		out = append(out, ReplicaAnswer{ID: e.id, State: stateUnusable, Ejected: true, Why: e.why.Error()})
	}
	return out
}

func (c *control) replicaAnswer(r *routing.Replica, now time.Time) ReplicaAnswer {
	rate, why := c.health.Explain(r, now)
	a := ReplicaAnswer{
		ID: r.ID, Service: r.Service, Domain: r.Domain, Address: r.Address, State: stateName(r), Version: r.Version.String(),
		Load: c.loads.Estimate(r.LoadKey(), now), FailRate: rate, ColdMS: max(0, r.ColdUntil.Sub(now)).Milliseconds(), StartTime: r.StartTime,
		BackoffMS: c.backoffs.Remaining(r, now).Milliseconds(), BackoffBy: c.backoffs.RequestedBy(r, now), Departing: c.departures.IsLeaving(r),
	}
	switch {
	case a.Departing:
		why = whyLeaving
	case a.BackoffMS > 0:
		why = whyBackingOff
	case why == "" && a.ColdMS > 0:
		why = whyCold
	}
	a.Why, a.Ejected = why, why != ""
	return a
}

// liftBackoff ends the backoff that a replica requested of this daemon. It returns false if there is
// none.
func (c *control) liftBackoff(id routing.ReplicaID, now time.Time) bool {
	lifted := c.backoffs.Lift(id, now)
	if lifted {
		c.log.BackoffLifted(id)
	}
	return lifted
}

// liftBackoff handles an operator's command to end the backoff that a replica requested.
func (d *Daemon) liftBackoff(w http.ResponseWriter, r *http.Request) {
	id := routing.ReplicaID(r.URL.Query().Get("replica"))
	serveCommand(d.control, w, r, func(reply chan bool) event { return liftBackoffCommand{id, reply} },
		"this replica is not backing off at this daemon; GET "+PathReplicas+" shows the replicas that are")
}
