// Package soak runs real daemons as separate processes on one machine, injects
// faults from outside, and checks the promises of docs/PROMISES.md
// while they run, from what callers and replicas see on their sockets. It is no
// part of the product.
//
// Everything in a run follows from its seed: the size of the fleet, the traffic
// and the schedule of faults. The machine's timing does not, so a seed that failed
// once may pass when it is played again; its log, its faults and the daemons'
// output are kept.
//
// # Usage
//
//	plan := soak.NewPlan(seed, soak.DefaultShape())
//	report, err := soak.Play(ctx, plan, soak.Options{Daemon: "target/hingewinchd", Dir: dir})
//	if len(report.Violations) > 0 { ... }
//
// # Parts
//
// Plan holds the schedule. Ledger holds what was seen and judges it; it is pure.
// Fleet starts daemons and ends only those. Link delays, cuts and silences
// connections. Replica and caller are the two ends, store comes from
// platform/standin.
package soak
