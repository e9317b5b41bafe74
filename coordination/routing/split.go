// This file remembers how a route's traffic was split before the split last changed. A stream that began then goes on at its
// service, whose replicas alone have it, although the route's requests are drawn by other weights now.
//
// Inputs: the route's shares in the configuration in force and in the one before, the draw of a stream (that of the request that
// brought its first event), when the configuration changed, and the records of origins. The rule:
//
//  1. Requests that don't resume a stream are drawn by the newest configuration.
//  2. For as long as a stream can last after a change of a resumable route's split, the former split is remembered. A stream whose
//     draw selects the same service by both is not affected. If the split changes again meanwhile, the one of before all these
//     changes is remembered on, and every stream counts as affected: one in between may have selected another service.
//  3. Of the others those that begin after the change are recorded at the holders with their first event, also where each
//     service has one version: the version of a record tells the service too. So a stream that its caller resumes goes on at
//     the service of its record, and one without a record at the former service: it began before the changes, or in between where
//     the split selected the same service. If none of the holders replies, the caller is refused: a daemon that is cut off would
//     resume a stream of after the change at the former service.
//  4. The former service is used only if the newest configuration gives it a share above 0. A route that moves to another
//     service takes its streams along, as all requests. Streams are recorded then too, as the change may be taken back.
//  5. A daemon does not know whether the split changed before its first configuration. For as long as a stream can last after that it
//     records the streams of all routes with a split: the other daemons would take those without a record for ones of before.
//
// A draw by weighted rendezvous hashing would also move few streams, but it draws other services than the last build does, so that
// daemons of both builds would resume a stream at different services, and it moves prompts away from the replicas that cache them.

package routing

import (
	"slices"
	"time"
)

// formerSplit is the split of a route before it changed.
type formerSplit struct {
	route Route     // as it was
	until time.Time // streams that began before the last change may be resumed
	again bool      // it changed again while the former split was remembered
}

// FormerService returns the service at which a stream that has no record goes on, if changes of the route's split affect the
// stream; empty otherwise.
func (r *Route) FormerService(draw uint64, now time.Time) ServiceName {
	if r.former == nil || !now.Before(r.former.until) {
		return ""
	}
	former, current := r.former.route.Service(draw), r.Service(draw)
	switch {
	case former == current && !r.former.again:
		return ""
	case !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == former && s.Weight > 0 }):
		return current
	}
	return former
}

// LacksSplits reports whether the split of a route may have changed before the daemon's first configuration, while streams of then
// last. It accepts a nil table.
func (t *Table) LacksSplits(r *Route, now time.Time) bool {
	return t != nil && len(r.Shares) > 1 && now.Before(t.lacksSplitsUntil)
}

// WithFormerSplits returns the table with the splits of the table that was in force until now, nil for none.
func (t *Table) WithFormerSplits(before *Table, now time.Time) *Table {
	out := *t
	if before == nil {
		out.lacksSplitsUntil = now.Add(t.StreamLife())
		return &out
	}
	out.lacksSplitsUntil = before.lacksSplitsUntil
	out.byHost = make(map[string][]*Route, len(t.byHost))
	for host, routes := range t.byHost {
		out.byHost[host] = before.withFormerSplits(host, routes, now)
	}
	return &out
}

// withFormerSplits returns the routes of a host in the table that replaces t, with their former splits.
func (t *Table) withFormerSplits(host string, routes []*Route, now time.Time) []*Route {
	old := make(map[string]*Route, len(t.byHost[host])) // by prefix
	for _, r := range t.byHost[host] {
		old[r.Prefix] = r
	}
	list := slices.Clone(routes)
	for i, r := range list {
		if former := old[r.Prefix].splitBefore(r, t.StreamLife(), now); former != nil {
			changed := *r
			changed.former = former
			list[i] = &changed
		}
	}
	return list
}

// splitBefore returns the former split of the route that replaces r; nil: there is none. It accepts a nil route.
func (r *Route) splitBefore(replacement *Route, streamLife time.Duration, now time.Time) *formerSplit {
	switch {
	case r == nil || replacement.Kind != Stream || !replacement.Resumable:
		return nil
	case slices.Equal(r.Shares, replacement.Shares):
		return r.former
	case r.former != nil && now.Before(r.former.until):
		return &formerSplit{r.former.route, latest(r.former.until, now.Add(streamLife)), true}
	}
	before := *r
	before.former = nil
	return &formerSplit{route: before, until: now.Add(streamLife)}
}
