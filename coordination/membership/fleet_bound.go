// This file decides how many daemons the fleet has at most, as far as a daemon can know that. Daemons that divide a limit
// by this number keep it together, even if some have not heard of each other since they started.
//
// Inputs: the seeds, which of them were ever heard of, and the highest number of daemons that was ever known or reported.
// The rule:
//
//  1. If all seeds were heard of, it is that number.
//  2. While seeds are missing, daemons may run beyond a cut that this one has never heard of. The number is multiplied by
//     the seeds for each one that was found, this daemon included if it is a seed. Groups of daemons that don't hear each
//     other find different seeds, so that all groups together get the whole. A seed that is down costs the daemons that
//     started since its part of the limit.
//  3. A daemon that found no seed but hears others counts as one that found one: others send to it only if they knew it
//     before it started again.
//  4. A daemon that has heard of no other and is no seed itself does not know it, unless there is no other seed.
//
// So the number falls only when a seed is found.

package membership

import "slices"

// FleetBound keeps which seeds were ever heard of. The zero value is ready for use.
type FleetBound struct {
	seeds []Address // of the roster, each once
	found map[Address]bool
}

// Update returns the most daemons that the fleet of a roster has, including this one, and whether that is known. It is called
// more often than members are forgotten.
func (b *FleetBound) Update(r *Roster) (n int, known bool) {
	if b.found == nil {
		b.found = make(map[Address]bool)
		b.seeds = slices.Compact(slices.Sorted(slices.Values(r.seeds)))
	}
	for _, s := range b.seeds {
		if s == r.self.Address || r.members[s] != nil {
			b.found[s] = true
		}
	}
	found := len(b.found)
	if found == 0 && r.peakSize > 1 {
		found = 1
	}
	switch {
	case len(b.seeds) == 0:
		return r.peakSize, true
	case found == 0:
		return 0, false
	}
	return (r.peakSize*len(b.seeds) + found - 1) / found, true
}
