// This file defines the controller that bounds an engine's load. The daemon
// that watches an engine runs it on each load report and publishes one number,
// the gate: the share of the engine's home traffic that it may still take.

package coordination

import "hingewinch.org/hingewinch/state"

// Gate controller settings. They are constants because the bound of the
// operators' file is the one number that operators should have to choose.
const (
	// gateTarget is the share of the bound that the controller aims at, so that
	// the lag of reports does not carry the load over the bound.
	gateTarget = 0.92
	// gateMaxCut and gateMaxRaise limit one step.
	gateMaxCut   = 0.6
	gateMaxRaise = 1.08
	// gateFloor keeps a trickle, without which an engine that never gets a
	// request could never show that it has recovered.
	gateFloor = state.GateFull / 32
	// gateSlack is the load in thousandths of a request below which an engine
	// is never gated: a bound can't be kept tighter than one request.
	gateSlack state.Load = 2000
)

// NextGate returns the gate after a report. load is the engine's own load, mean
// the mean over its pool in the same unit, bound the largest load allowed as a
// multiple of the mean.
func NextGate(g state.Gate, load state.Load, mean float64, bound float64) state.Gate {
	limit := max(bound*mean*gateTarget, float64(gateSlack))
	ratio := gateMaxRaise
	if load > 0 {
		ratio = min(limit/float64(load), gateMaxRaise)
	}
	next := float64(g) * max(ratio, gateMaxCut)
	if ratio > 1 {
		// A gate near the floor would take long to rise by factors alone.
		next += float64(gateFloor)
	}
	return state.Gate(min(max(next, float64(gateFloor)), float64(state.GateFull)))
}
