// This file implements admission control for engines. The daemon that watches an
// engine applies the rule to each load report and publishes one number, the
// admission: the fraction of the chats ranking the engine first that are still sent
// to it. The others go to their second choice.
//
// Inputs: the engine's load and that of its pool, in thousandths of a request, and
// the bound of the configuration file, a multiple of the pool's mean. Above the
// bound the admission falls by the ratio, but to no less than admissionMaxCut of its
// value per report; below it, the admission rises by admissionRaise.

package fleet

import "hingewinch.org/hingewinch/state"

// These settings are constants so that the bound in the configuration file is the
// only number that operators have to choose.
//
// The load of an engine with some twenty requests swings by a third within seconds,
// and a report is seconds old when it reaches the daemons. A rule that follows the
// swings moves chats away from their caches and is always late: 72.6% of the tokens
// were found cached instead of 91.8% (docs/design/placement.md, "fast" and "gate").
// The admission therefore follows the mean load of about forty seconds in small
// steps, and reacts to lasting changes such as an engine that has become slow.
const (
	// loadSmoothing is the weight of a new report in the mean load.
	loadSmoothing = 0.05
	// admissionMaxCut is the smallest factor of one step down; admissionRaise is one
	// step up.
	admissionMaxCut = 0.97
	admissionRaise  = state.AdmitAll / 10
	// admissionFloor keeps some requests going to an engine, so that its reports can
	// show that it has recovered.
	admissionFloor = state.AdmitAll / 32
	// admissionSlack is the load, in thousandths of a request, up to which an engine is
	// never limited: a bound can't be enforced more finely than a few requests.
	admissionSlack = 2000
)

// smoothLoad returns the mean load after a report.
func smoothLoad(mean float64, load state.Load) float64 {
	return mean + loadSmoothing*(float64(load)-mean)
}

// NextAdmission returns the admission that follows a after a report. load is the
// engine's mean load, mean is the mean of these loads over its pool in the same unit,
// and bound is the largest allowed load as a multiple of mean.
func NextAdmission(a state.Admission, load, mean, bound float64) state.Admission {
	limit := max(bound*mean, admissionSlack)
	if load > limit {
		return max(state.Admission(float64(a)*max(limit/load, admissionMaxCut)), admissionFloor)
	}
	return state.Admission(min(uint32(a)+uint32(admissionRaise), uint32(state.AdmitAll)))
}
