// This file answers the operators' query about permits for saturated services.

package routes

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// AdmissionAnswer is one service and coordinator in the response to GET /admission. Only the
// coordinator itself knows its places, permits and waiting requests; at other daemons they are 0.
type AdmissionAnswer struct {
	Service routing.ServiceName `json:"service"`
	// Scope is the failure domain whose replicas the coordinator grants permits for; empty: all.
	Scope         state.FailureDomain  `json:"scope"`
	Coordinator   membership.Address   `json:"coordinator"`
	IsCoordinator bool                 `json:"is_coordinator"` // this daemon
	Alone         bool                 `json:"alone"`          // this daemon decides with its own share
	Saturated     bool                 `json:"saturated"`
	Places        int                  `json:"places"`
	Out           int                  `json:"out"`
	Waiting       int                  `json:"waiting"`
	Refused       int                  `json:"refused_10s"`
	OwnWaiting    int                  `json:"own_waiting"` // requests of this daemon
	OwnHeld       int                  `json:"own_held"`
	Silent        []membership.Address `json:"silent"` // coordinators that did not reply to this daemon
	ByUrgency     []UrgencyAnswer      `json:"by_urgency"`
	ByWorkspace   []WorkspaceAnswer    `json:"by_workspace"`
	// AtReplicas says that permits are for single replicas of a brittle service; the counts are then sums over
	// those that this daemon asks for or coordinates.
	AtReplicas bool `json:"at_replicas,omitempty"`
	// Brittle says that replicas of the service say that they are brittle, since BrittleMS, and that each
	// terminates if it rejects more than RejectionLimit requests within a second.
	Brittle        bool  `json:"brittle,omitempty"`
	BrittleMS      int64 `json:"brittle_ms,omitempty"`
	RejectionLimit int   `json:"rejection_limit,omitempty"`
}

// UrgencyAnswer counts the requests of one urgency. Granted and Refused count the last 10 s.
type UrgencyAnswer struct {
	Urgency string `json:"urgency"` // priorities of the workspace and the route, as 1.2; 0.0 is the most urgent
	Granted int    `json:"granted"`
	Waiting int    `json:"waiting"`
	Refused int    `json:"refused"`
}

// WorkspaceAnswer counts the requests of one workspace. Granted and Refused count the last 10 s.
type WorkspaceAnswer struct {
	// Workspace is empty for requests without a key, and a number for a workspace that the active
	// configuration lacks.
	Workspace string `json:"workspace"`
	Granted   int    `json:"granted"`
	Waiting   int    `json:"waiting"`
	Refused   int    `json:"refused"`
}

// admissionAnswers lists the services with state in this daemon: one element for each coordinator
// that it runs, and one for the coordinator that it asks if that is another daemon.
func (c *control) admissionAnswers(now time.Time) []AdmissionAnswer {
	out := []AdmissionAnswer{}
	self := c.roster.Self().Address
	for _, s := range c.permits.daemon.Status(now) {
		asked := AdmissionAnswer{
			Service: s.Service, Scope: state.FailureDomain(s.Scope), Coordinator: s.Coordinator, Alone: s.Alone,
			Saturated: s.Saturated, OwnWaiting: s.Waiting, OwnHeld: s.Held, Silent: s.Silent, AtReplicas: s.AtReplicas,
		}
		isListed := false
		for i := range s.Coordinates {
			st := &s.Coordinates[i]
			a := AdmissionAnswer{Service: s.Service, Scope: state.FailureDomain(st.Scope), Coordinator: self, Saturated: s.Saturated, AtReplicas: s.AtReplicas}
			if s.AtReplicas || s.Coordinator == self && s.Scope == st.Scope {
				a, isListed = asked, true
			}
			a.IsCoordinator = true
			a.Places, a.Out, a.Waiting, a.Refused = st.Places, st.Out, st.Waiting, st.Refused
			a.ByUrgency, a.ByWorkspace = urgencyAnswers(st), c.workspaceAnswers(st)
			out = append(out, a)
		}
		if !isListed {
			asked.IsCoordinator = s.Coordinator == self
			out = append(out, asked)
		}
	}
	for i := range out {
		out[i].setBrittle(c.permits.brittle, now)
	}
	return out
}

// setBrittle sets what is known of the replicas of the service, if they are brittle.
func (a *AdmissionAnswer) setBrittle(known []routing.BrittleStatus, now time.Time) {
	for _, b := range known {
		if b.Service == a.Service {
			a.Brittle, a.BrittleMS, a.RejectionLimit = true, now.Sub(b.Since).Milliseconds(), int(b.Limit)
		}
	}
}

func urgencyAnswers(s *admission.Status) []UrgencyAnswer {
	var out []UrgencyAnswer
	for _, u := range slices.Sorted(maps.Keys(s.ByUrgency)) {
		n := s.ByUrgency[u]
		out = append(out, UrgencyAnswer{Urgency: urgencyName(u), Granted: n.Granted, Waiting: n.Waiting, Refused: n.Refused})
	}
	return out
}

// workspaceAnswers lists the workspaces with the most requests first.
func (c *control) workspaceAnswers(s *admission.Status) []WorkspaceAnswer {
	names := map[admission.WorkspaceKey]string{admission.NewWorkspaceKey(""): ""}
	if c.catalog.table != nil {
		for name := range c.catalog.table.Workspaces() {
			names[admission.NewWorkspaceKey(name)] = string(name)
		}
	}
	var out []WorkspaceAnswer
	for key, n := range s.ByWorkspace {
		name, ok := names[key]
		if !ok {
			name = strconv.FormatUint(uint64(key), 10)
		}
		out = append(out, WorkspaceAnswer{Workspace: name, Granted: n.Granted, Waiting: n.Waiting, Refused: n.Refused})
	}
	slices.SortFunc(out, func(a, b WorkspaceAnswer) int {
		return cmp.Or(cmp.Compare(b.Granted+b.Waiting+b.Refused, a.Granted+a.Waiting+a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}
