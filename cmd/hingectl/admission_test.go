package main

import (
	"testing"

	"hingewinch.org/hingewinch/daemon/routes"
)

// TestAdmissionColumns guards against columns that are shifted, or that show a zero which the daemon
// does not know.
func TestAdmissionColumns(t *testing.T) {
	own := routes.AdmissionAnswer{
		Service: "s", Coordinator: "10.0.0.1:1", IsCoordinator: true, Saturated: true, Places: 21, Out: 20, Waiting: 7, Refused: 3, OwnWaiting: 2, OwnHeld: 4,
		ByUrgency:   []routes.UrgencyAnswer{{Urgency: "1.2", Granted: 90, Waiting: 7, Refused: 3}},
		ByWorkspace: []routes.WorkspaceAnswer{{Workspace: "a", Granted: 50}, {Granted: 40, Waiting: 7, Refused: 3}},
	}
	other := routes.AdmissionAnswer{Service: "s", Scope: "z1", Coordinator: "10.0.0.2:1", OwnHeld: 1}
	other.Silent = append(other.Silent, "10.0.0.3:1")
	brittle := routes.AdmissionAnswer{
		Service: "s", Coordinator: "10.0.0.1:1", IsCoordinator: true, AtReplicas: true, Places: 32, Out: 20, Waiting: 1, OwnWaiting: 2, OwnHeld: 4,
		Brittle: true, BrittleMS: 2500, RejectionLimit: 3,
	}
	for want, a := range map[string]*routes.AdmissionAnswer{
		"s\tall\t10.0.0.1:1\tyes\ttrue\t21\t20\t7\t3\t2\t4\t-\t1.2:90/7/3\ta:50/0/0,-:40/7/3\t-": &own,
		"s\tz1\t10.0.0.2:1\tno\tfalse\t-\t-\t-\t-\t0\t1\t10.0.0.3:1\t-\t-\t-":                    &other,
		"s\teach replica\t10.0.0.1:1\tyes\tfalse\t32\t20\t1\t0\t2\t4\t-\t-\t-\t3/s since 2.5s":   &brittle,
	} {
		if got := formatAdmission(a); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
	}
}
