// This file implements the commands for daemons that route by host and path.

package main

import (
	"fmt"
	"net/url"
	"strings"

	"hingewinch.org/hingewinch/daemon/routes"
	"hingewinch.org/hingewinch/state"
)

// routerCommand groups the subcommands of router.
type routerCommand struct {
	Status    routerStatusCommand    `command:"status" description:"show the state of each daemon and how recent it is"`
	Members   routerMembersCommand   `command:"members" description:"show the daemons known to each daemon"`
	Replicas  routerReplicasCommand  `command:"replicas" description:"show the replicas and why some get no requests"`
	Admission routerAdmissionCommand `command:"admission" description:"show the permits for saturated services: coordinators, waiting and refused requests"`
	Held      routerHeldCommand      `command:"held" description:"show quarantined requests, which crashed replicas"`
	Lift      routerLiftCommand      `command:"lift" description:"end the backoff that a replica requested from the named daemons"`
	Release   routerReleaseCommand   `command:"release" description:"release a request from quarantine"`
}

type routerStatusCommand struct{ daemonOptions }

// Execute prints one line per daemon.
func (c *routerStatusCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tDOMAIN\tREADY\tCONFIG\tERA\tREVISION\tCHANGED\tSTORE\tREADS\tDAEMONS\tREPLICAS\tCOLD\tEVACUATED\tUP\tBUILD\tREADS")
	return c.forEach(func(address string) error {
		var a routes.StatusAnswer
		if err := fetchJSON(address, routes.PathStatus, &a); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%t\t%d\t%d\t%d\t%s\t%dms\t%s\t%s\n", a.Daemon, a.Domain, readiness(&a), a.Version, a.Era, a.Revision,
			formatAge(a.ChangedMS), storeState(a.StoreUnreachable), a.ReadsStore, a.Daemons, a.Replicas, a.Cold, formatDomains(a.Evacuated), a.UptimeMS, a.Build, strings.Join(a.Reads, ","))
		return nil
	})
}

func readiness(a *routes.StatusAnswer) string {
	switch {
	case a.Stopping:
		return "stopping"
	case a.Ready:
		return "yes"
	}
	return "no"
}

// formatDomains returns a comma-separated list of failure domains, or "none".
func formatDomains(list []state.FailureDomain) string {
	if len(list) == 0 {
		return "none"
	}
	names := make([]string, len(list))
	for i, d := range list {
		names[i] = string(d)
	}
	return strings.Join(names, ",")
}

// formatAge formats an age in milliseconds; a negative age means that the event never happened.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%dms", ms)
}

func storeState(unreachable bool) string {
	if unreachable {
		return "lost"
	}
	return "ok"
}

type routerMembersCommand struct{ daemonOptions }

// Execute prints one line for each daemon that the queried daemons know.
func (c *routerMembersCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "ADDRESS\tDOMAIN\tINCARNATION\tLEAVING")
	return c.forEach(func(address string) error {
		var list []routes.MemberAnswer
		if err := fetchJSON(address, routes.PathMembers, &list); err != nil {
			return err
		}
		for _, m := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\n", m.Address, m.Domain, m.Incarnation, m.Leaving)
		}
		return nil
	})
}

type routerReplicasCommand struct {
	daemonOptions
	Ejected bool `long:"passed-over" description:"show only replicas that get no requests"`
}

// Execute prints one line per replica.
func (c *routerReplicasCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "SERVICE\tREPLICA\tDOMAIN\tADDRESS\tSTATE\tVERSION\tLOAD\tFAILED\tCOLD\tREST\tASKED BY\tEJECTED")
	return c.forEach(func(address string) error {
		var list []routes.ReplicaAnswer
		if err := fetchJSON(address, routes.PathReplicas, &list); err != nil {
			return err
		}
		for _, r := range list {
			if c.Ejected && !r.Ejected {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0f%%\t%dms\t%dms\t%s\t%s\n", r.Service, r.ID, r.Domain, r.Address, r.State, r.Version, r.Load, 100*r.FailRate, r.ColdMS, r.BackoffMS, r.BackoffBy, r.Why)
		}
		return nil
	})
}

type routerLiftCommand struct {
	daemonOptions
	Args struct {
		Replica string `positional-arg-name:"REPLICA" required:"yes" description:"as shown by 'replicas' and in the log"`
	} `positional-args:"yes"`
}

// Execute ends the backoff of a replica at each named daemon. A replica requests a backoff from each
// daemon separately, so other daemons keep theirs.
func (c *routerLiftCommand) Execute([]string) error {
	return c.forEach(func(address string) error {
		return post(address, routes.PathLift+"?replica="+url.QueryEscape(c.Args.Replica))
	})
}
