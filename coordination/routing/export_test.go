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

// Len returns how many prompts are recorded.
func (t *CacheTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.prompts)
}

// Homes returns how many homes the prompt of a request has; n is the usual number.
func (c *Overloads) Homes(r *Request, n int, now time.Time) int { return c.homes(r.Key(), n, now) }

// Demands returns how many prompts with additional homes are recorded.
func (c *Overloads) Demands() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.demands)
}

// Quota returns how many requests this daemon may send to a cold replica in any second.
func (c *ColdLimiter) Quota(r *Replica, perSecond float64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota(r, &Service{ColdPerSecond: perSecond})
}

// Len returns how many backoffs are recorded.
func (s *Backoffs) Len() int { return int(s.known.Load()) }

// Incarnations returns the number of incarnations recorded.
func (l *Departures) Incarnations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.incarnations)
}

// Clearances returns how many clearances are kept that are no longer repeated.
func (c *Crashes) Clearances() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.clearances)
}
