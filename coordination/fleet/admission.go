// This file decides how much of an engine's own traffic it may still take. The
// daemon that watches the engine runs the rule on each load report and publishes
// one number, the admission: the share of the chats that rank the engine first
// which still go to it; the others go to their second choice.
//
// Inputs: the engine's load and that of its pool, in thousandths of a request, and
// the bound of the operators' file, a multiple of the pool's mean. The rule: above
// the bound the admission falls by the ratio, down to admissionMaxCut of itself a
// report; below it, it rises by admissionRaise.

package fleet

import "hingewinch.org/hingewinch/state"

// The settings are constants because the bound of the operators' file is the one
// number that operators should have to choose.
//
// The load of an engine that holds some twenty requests swings by a third within
// seconds, and a report is seconds old when it has reached the daemons. A rule
// that follows the swings only moves chats away from their caches and is late each
// time: 72.6% of the tokens were found cached in place of 91.8%
// (docs/design/placement.md, "fast" and "gate"). So the admission follows the mean
// load of about forty seconds and moves by small steps: it is for what lasts, such
// as an engine that has become slow.
const (
	// loadSmoothing is the weight of a new report in the mean load.
	loadSmoothing = 0.05
	// admissionMaxCut limits one step down, admissionRaise is one step up.
	admissionMaxCut = 0.97
	admissionRaise  = state.AdmitAll / 10
	// admissionFloor keeps some requests coming, without which an engine that gets no
	// request could never show that it has recovered.
	admissionFloor = state.AdmitAll / 32
	// admissionSlack is the load in thousandths of a request below which an engine
	// is never limited: a bound can't be kept tighter than a few requests.
	admissionSlack = 2000
)

// smoothLoad returns the mean load after a report.
func smoothLoad(mean float64, load state.Load) float64 {
	return mean + loadSmoothing*(float64(load)-mean)
}

// NextAdmission returns the admission after a report. load is the engine's mean load,
// mean the mean of these over its pool in the same unit, bound the largest load
// allowed as a multiple of it.
func NextAdmission(a state.Admission, load, mean, bound float64) state.Admission {
	limit := max(bound*mean, admissionSlack)
	if load > limit {
		return max(state.Admission(float64(a)*max(limit/load, admissionMaxCut)), admissionFloor)
	}
	return state.Admission(min(uint32(a)+uint32(admissionRaise), uint32(state.AdmitAll)))
}
