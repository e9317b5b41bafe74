// Package soak runs real daemons as separate processes on one machine, injects
// faults from outside, and checks the guarantees of docs/PROMISES.md
// while they run, from what callers and replicas observe on their sockets. It is
// a test tool and not part of the product.
//
// The seed determines the size of the fleet, the traffic and the schedule of
// faults. It does not determine the machine's timing, so a seed that failed once
// may pass when it is run again; the log, the faults and the daemons' output of
// a run are kept.
//
// # Usage
//
//	plan := soak.NewPlan(seed, soak.DefaultShape())
//	report, err := soak.Play(ctx, plan, soak.Options{Daemon: "target/hingewinchd", Dir: dir})
//	if len(report.Violations) > 0 { ... }
//
// # Parts
//
// Plan holds the schedule. Ledger records what was observed and checks it; it does
// no I/O. Fleet starts daemons and stops only those. Link delays, cuts and silences
// connections. Replica and caller are the two endpoints; the store comes from
// platform/standin.
package soak
