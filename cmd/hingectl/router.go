// This file holds the commands that ask daemons that route by host and path.

package main

import (
	"fmt"
	"net/url"
	"strings"

	"hingewinch.org/hingewinch/daemon/routes"
	"hingewinch.org/hingewinch/state"
)

// routerCommand groups the commands.
type routerCommand struct {
	Status   routerStatusCommand   `command:"status" description:"show what each daemon knows, and how old it is"`
	Members  routerMembersCommand  `command:"members" description:"show the daemons that a daemon knows"`
	Replicas routerReplicasCommand `command:"replicas" description:"show the replicas, and why some get no requests"`
	Held     routerHeldCommand     `command:"held" description:"show the requests that are held back because replicas end under them"`
	Lift     routerLiftCommand     `command:"lift" description:"end the rest that a replica asked the named daemons for"`
	Release  routerReleaseCommand  `command:"release" description:"let a request that is held back be sent again"`
}

type routerStatusCommand struct{ daemonOptions }

// Execute prints a line for each daemon.
func (c *routerStatusCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tDOMAIN\tREADY\tCONFIG\tERA\tREVISION\tCHANGED\tSTORE\tREADS\tDAEMONS\tREPLICAS\tCOLD\tEVACUATED\tUP\tBUILD\tREADS")
	return c.askAll(func(address string) error {
		var a routes.StatusAnswer
		if err := ask(address, routes.PathStatus, &a); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%t\t%d\t%d\t%d\t%s\t%dms\t%s\t%s\n", a.Daemon, a.Domain, readiness(&a), a.Version, a.Era, a.Revision,
			age(a.ChangedMS), storeState(a.StoreUnreachable), a.ReadsStore, a.Daemons, a.Replicas, a.Cold, domains(a.Evacuated), a.UptimeMS, a.Build, strings.Join(a.Reads, ","))
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

// domains lists failure domains, or says that there are none.
func domains(list []state.FailureDomain) string {
	if len(list) == 0 {
		return "none"
	}
	names := make([]string, len(list))
	for i, d := range list {
		names[i] = string(d)
	}
	return strings.Join(names, ",")
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%dms", ms)
}

func storeState(lost bool) string {
	if lost {
		return "lost"
	}
	return "ok"
}

type routerMembersCommand struct{ daemonOptions }

// Execute prints a line for each daemon that is known.
func (c *routerMembersCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "ADDRESS\tDOMAIN\tINCARNATION\tLEAVING")
	return c.askAll(func(address string) error {
		var list []routes.MemberAnswer
		if err := ask(address, routes.PathMembers, &list); err != nil {
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
	Ejected bool `long:"passed-over" description:"only those that get no requests"`
}

// Execute prints a line for each replica.
func (c *routerReplicasCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "SERVICE\tREPLICA\tDOMAIN\tADDRESS\tSTATE\tLOAD\tFAILED\tCOLD\tREST\tASKED BY\tEJECTED")
	return c.askAll(func(address string) error {
		var list []routes.ReplicaAnswer
		if err := ask(address, routes.PathReplicas, &list); err != nil {
			return err
		}
		for _, r := range list {
			if c.Ejected && !r.Ejected {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.0f%%\t%dms\t%dms\t%s\t%s\n", r.Service, r.ID, r.Domain, r.Address, r.State, r.Load, 100*r.FailRate, r.ColdMS, r.BackoffMS, r.BackoffBy, r.Why)
		}
		return nil
	})
}

type routerLiftCommand struct {
	daemonOptions
	Args struct {
		Replica string `positional-arg-name:"REPLICA" required:"yes" description:"as 'replicas' and the log show it"`
	} `positional-args:"yes"`
}

// Execute ends the rest of a replica at each daemon that is named: others were asked for theirs.
func (c *routerLiftCommand) Execute([]string) error {
	return c.askAll(func(address string) error {
		return order(address, routes.PathLift+"?replica="+url.QueryEscape(c.Args.Replica))
	})
}
