// This file keeps streams that have not begun from replicas of new software versions while others are usable, by rules 5 to 7
// of establishment.go. It stands apart from versions.go, which keeps streams that have begun at their version.

package routing

import (
	"slices"
	"time"
)

// newFor returns the versions at which the stream of a request is not to begin; nil: none, or it is no stream that is to begin.
func (v *View) newFor(r *Request, tried Tried) []VersionKey {
	if len(v.NewVersions) == 0 || tried.Version != 0 || r.Route == nil || r.Route.Kind != Stream {
		return nil
	}
	return v.NewVersions[r.Service]
}

// MayBegin reports whether the first event of a request's stream may be passed on from a replica, by rule 6 of establishment.go.
func (v *View) MayBegin(r *Request, at *Replica, tried Tried) bool {
	newVersions := v.newFor(r, tried)
	return len(newVersions) == 0 || !r.Route.MayRunAgain() || !slices.Contains(newVersions, at.versionKey)
}

// HasNewVersion reports whether a service has a version that is not established.
func (v *View) HasNewVersion(s ServiceName) bool { return len(v.NewVersions[s]) > 0 }

// established returns the candidates of established versions that are well. It returns nil if all candidates are to be used: no version
// is new, the request accepts them, or no such candidate has a free slot and a load within the bound of the whole service.
func (c *candidates) established(h *Health, newVersions []VersionKey, now time.Time) *candidates {
	if len(newVersions) == 0 || c.acceptsNew {
		return nil
	}
	out, hasRoom := *c, false
	out.usable = make([]bool, len(c.ready))
	for i := range c.ready {
		r := &c.ready[i]
		if !c.usable[i] || slices.Contains(newVersions, r.versionKey) || !h.isWell(r, now) {
			continue
		}
		out.usable[i] = true
		hasRoom = hasRoom || c.hasCapacity(i) && (r.Slots <= 0 || c.loads[i] < r.Slots)
	}
	if !hasRoom {
		return nil
	}
	out.count()
	return &out
}

// isWell reports whether a replica is neither ejected nor lost.
func (h *Health) isWell(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.records[r.LoadKey()]
	return !(rec != nil && rec.ejected(now)) && !h.isLost(r, now)
}

// takeEstablished is takeUsable for a request that is to begin no stream at the given versions. If all established replicas are
// cold and at their limit, it chooses among all.
func (p *Placer) takeEstablished(c *candidates, pool *Pool, v *View, r *Request, s *Service, newVersions []VersionKey, now time.Time) (Target, bool) {
	if e := c.established(p.Health, newVersions, now); e != nil {
		if t, ok := p.takeUsable(e, pool, v, r, s, now); ok {
			return t, true
		}
	}
	t, ok := p.takeUsable(c, pool, v, r, s, now)
	t.NewVersion = ok && slices.Contains(newVersions, t.Replica.versionKey)
	return t, ok
}

// NewReplicas returns the replicas of a service without a model at which the stream of a request is not to begin, since those of
// established versions are usable.
func (p *Placer) NewReplicas(v *View, r *Request, tried Tried, now time.Time) []LoadKey {
	newVersions := v.newFor(r, tried)
	if len(newVersions) == 0 {
		return nil
	}
	c := p.plainCandidates(v, r.Service, tried, now)
	if c == nil || c.established(p.Health, newVersions, now) == nil {
		return nil
	}
	var out []LoadKey
	for i := range c.ready {
		if c.usable[i] && slices.Contains(newVersions, c.ready[i].versionKey) {
			out = append(out, c.ready[i].LoadKey())
		}
	}
	return out
}

// AvoidsNew reports whether the stream of a request is not to begin at a replica that the request returns to, since it has a new
// version and replicas of established ones are usable.
func (p *Placer) AvoidsNew(v *View, r *Request, at *Replica, tried Tried, now time.Time) bool {
	newVersions, pool := v.newFor(r, tried), v.Pool(r.Service).sorted()
	if !slices.Contains(newVersions, at.versionKey) || len(pool.Ready) == 0 {
		return false
	}
	service, _ := v.service(r.Service)
	return newCandidates(p, pool, v, service, tried, now).established(p.Health, newVersions, now) != nil
}
