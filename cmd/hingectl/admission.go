// This file implements the command for permits of saturated services.

package main

import (
	"fmt"
	"strings"
	"time"

	"hingewinch.org/hingewinch/daemon/routes"
)

type routerAdmissionCommand struct{ daemonOptions }

// Execute prints one line for each service and coordinator that a daemon knows. Columns that only the
// coordinator knows have a dash at other daemons.
func (c *routerAdmissionCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tSERVICE\tSCOPE\tCOORDINATOR\tHERE\tSATURATED\tPLACES\tOUT\tWAITING\tREFUSED 10S\tOWN WAITING\tOWN OUT\tSILENT\tURGENCIES\tWORKSPACES\tBRITTLE")
	return c.forEach(func(address string) error {
		var list []routes.AdmissionAnswer
		if err := fetchJSON(address, routes.PathAdmission, &list); err != nil {
			return err
		}
		for i := range list {
			fmt.Fprintln(w, address+"\t"+formatAdmission(&list[i]))
		}
		return nil
	})
}

// formatAdmission returns the columns of one service and coordinator.
func formatAdmission(a *routes.AdmissionAnswer) string {
	scope, here := "all", "no"
	switch {
	case a.AtReplicas:
		scope = "each replica"
	case a.Scope != "":
		scope = string(a.Scope)
	}
	brittle := "-"
	if a.Brittle {
		brittle = fmt.Sprintf("%d/s since %s", a.RejectionLimit, time.Duration(a.BrittleMS)*time.Millisecond)
	}
	state := "-\t-\t-\t-"
	if a.IsCoordinator {
		here = "yes"
		if a.Alone {
			here = "alone"
		}
		state = fmt.Sprintf("%d\t%d\t%d\t%d", a.Places, a.Out, a.Waiting, a.Refused)
	}
	var silent, urgencies, workspaces []string
	for _, s := range a.Silent {
		silent = append(silent, string(s))
	}
	for _, u := range a.ByUrgency {
		urgencies = append(urgencies, formatCounts(u.Urgency, u.Granted, u.Waiting, u.Refused))
	}
	for _, t := range a.ByWorkspace {
		workspaces = append(workspaces, formatCounts(t.Workspace, t.Granted, t.Waiting, t.Refused))
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%s\t%d\t%d\t%s\t%s\t%s\t%s", a.Service, scope, orDash(string(a.Coordinator)), here, a.Saturated, state,
		a.OwnWaiting, a.OwnHeld, formatList(silent), formatList(urgencies), formatList(workspaces), brittle)
}

// formatCounts formats the requests of an urgency or workspace: granted, waiting and refused.
func formatCounts(name string, granted, waiting, refused int) string {
	return fmt.Sprintf("%s:%d/%d/%d", orDash(name), granted, waiting, refused)
}

func formatList(list []string) string { return orDash(strings.Join(list, ",")) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
