// This file remembers how a route's traffic was split before the split last changed. A stream that began then goes on at its
// service, whose replicas alone have it, although the route's requests are drawn by other weights now.
//
// Inputs: the route's shares in the configuration in force and in those before, the draw of a stream (that of the request that
// brought its first event), when the configurations changed, and the records of origins. The rule:
//
//  1. Requests that don't resume a stream are drawn by the newest configuration.
//  2. For as long as a stream can last after a change of a resumable route's split, the former split is remembered. A stream whose
//     draw selects the same service by all of them is not affected.
//  3. Of the others those that begin after the change are recorded at the holders with their first event, also where each
//     service has one version: the version of a record tells the service too. So a stream that its caller resumes goes on at
//     the service of its record, and one without a record began before the changes, at the service of the oldest split.
//  4. The former service is used only if the newest configuration gives it a share above 0. A route that moves to another
//     service takes its streams along, as all requests.
//
// A draw by weighted rendezvous hashing would also move few streams, but it draws other services than the last build does, so that
// daemons of both builds would resume a stream at different services, and it moves prompts away from the replicas that cache them.

package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxFormerSplits bounds how many splits of a route are remembered.
const maxFormerSplits = 8

// formerSplit is the split of a route before it changed.
type formerSplit struct {
	route Route     // as it was
	until time.Time // streams that began by it may be resumed
}

// FormerService returns the service that the route's split selected for a stream before the split lately changed, if some split since
// then selects another one than now; empty otherwise. It is the selected service if the stream may not go on at the former one.
func (r *Route) FormerService(draw uint64, now time.Time) ServiceName {
	oldest, selected := ServiceName(""), r.Service(draw)
	differs := false
	for i := range r.former {
		if now.Before(r.former[i].until) {
			s := r.former[i].route.Service(draw)
			oldest, differs = cmp.Or(oldest, s), differs || s != selected && r.hasShare(s)
		}
	}
	switch {
	case !differs:
		return ""
	case r.hasShare(oldest):
		return oldest
	}
	return selected
}

// hasShare reports whether the route's requests may go to a service.
func (r *Route) hasShare(s ServiceName) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == s && share.Weight > 0 })
}

// WithFormerSplits returns the table with the splits of the table that was in force until now, nil for none.
func (t *Table) WithFormerSplits(before *Table, now time.Time) *Table {
	if before == nil {
		return t
	}
	out := *t
	out.byHost = make(map[string][]*Route, len(t.byHost))
	for host, routes := range t.byHost {
		list := slices.Clone(routes)
		for i, r := range list {
			if former := before.formerSplits(r, now); len(former) > 0 {
				changed := *r
				changed.former = former
				list[i] = &changed
			}
		}
		out.byHost[host] = list
	}
	return &out
}

// formerSplits returns the former splits of a route of the table that replaces t, oldest first.
func (t *Table) formerSplits(r *Route, now time.Time) []formerSplit {
	if r.Kind != Stream || !r.Resumable {
		return nil
	}
	for _, old := range t.byHost[strings.ToLower(r.Host)] {
		if old.Prefix != r.Prefix {
			continue
		}
		former := slices.DeleteFunc(slices.Clone(old.former), func(f formerSplit) bool { return !now.Before(f.until) })
		if !slices.Equal(old.Shares, r.Shares) {
			before := *old
			before.former = nil
			former = append(former, formerSplit{before, now.Add(t.StreamLife())})
		}
		return former[max(0, len(former)-maxFormerSplits):]
	}
	return nil
}

// ServiceOf returns the service of a route that has ready replicas of a software version.
func (v *View) ServiceOf(r *Route, key VersionKey) (ServiceName, bool) {
	for _, share := range r.Shares {
		if share.Weight > 0 && slices.ContainsFunc(v.Pool(share.Service).Ready, func(r Replica) bool { return r.versionKey == key }) {
			return share.Service, true
		}
	}
	return "", false
}
