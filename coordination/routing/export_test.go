package routing

import "time"

// Usable reports whether a replica may be chosen.
func (h *Health) Usable(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := h.records[r.LoadKey()]; rec != nil && rec.ejected(now) {
		return false
	}
	return !h.domainIsCutOff(r.Domain, now)
}

// Len returns how many prompts are remembered.
func (t *CacheTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.prompts)
}
