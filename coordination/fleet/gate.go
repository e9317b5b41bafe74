// This file defines the controller that bounds an engine's load. The daemon
// that watches an engine runs it on each load report and publishes one number,
// the gate: the share of the engine's home traffic that it may still take.

package fleet

import "hingewinch.org/hingewinch/state"

// Gate controller settings. They are constants because the bound of the
// operators' file is the one number that operators should have to choose.
//
// The load of an engine that holds some twenty requests swings by a third within
// seconds, and a report is seconds old when it has reached the daemons. A
// controller that follows the swings only moves chats away from their caches
// and is late each time (docs/design/placement.md has the figures). So the gate
// follows the mean load of about forty seconds and moves by small steps: it is
// for what lasts, such as an engine that has become slow or a crowd of chats.
const (
	// loadSmoothing is the weight of a new report in the mean load.
	loadSmoothing = 0.05
	// gateMaxCut limits one step down, gateRaise is one step up.
	gateMaxCut = 0.97
	gateRaise  = state.GateFull / 10
	// gateFloor keeps a trickle, without which an engine that never gets a
	// request could never show that it has recovered.
	gateFloor = state.GateFull / 32
	// gateSlack is the load in thousandths of a request below which an engine
	// is never gated: a bound can't be kept tighter than a few requests.
	gateSlack = 2000
)

// SmoothLoad returns the mean load after a report.
func SmoothLoad(mean float64, load state.Load) float64 {
	return mean + loadSmoothing*(float64(load)-mean)
}

// NextGate returns the gate after a report. load is the engine's mean load,
// mean the mean of these over its pool in the same unit, bound the largest load
// allowed as a multiple of it.
func NextGate(g state.Gate, load, mean, bound float64) state.Gate {
	limit := max(bound*mean, gateSlack)
	if load > limit {
		return max(state.Gate(float64(g)*max(limit/load, gateMaxCut)), gateFloor)
	}
	return state.Gate(min(uint32(g)+uint32(gateRaise), uint32(state.GateFull)))
}
