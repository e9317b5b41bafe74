// This file determines which software versions the replicas of each service have, or lately had, and whether a
// daemon can know that.
//
// Inputs: the entries of replicas, from which a daemon observes versions that come and go; the histories of
// peers; and how long a stream can last. The rule:
//
//  1. A version counts for versionRetention after the entry of its last replica is gone, or for as long as a stream can last if
//     that is longer: a replica without an entry may serve on.
//  2. A history is complete from the time at which the daemon had its first documents. What was there before,
//     or while the daemon was paused or cut off, it has not observed: that no other version is in its history
//     proves nothing.
//  3. A daemon takes over the history of a peer. It is then complete from the time from which the peer's is, if
//     the peer's documents were at least as new as the own ones were when the own history began: then no
//     version came and went between what the peer observed and what the daemon did.
//     A peer of the previous build tells versionRetention at most; that much counts as the whole retention, as that build
//     believes.
//  4. Only a history that is complete for as long as a stream can last shows that a service has one version.
//     Until then all that is known is which versions it has besides those that may be missing.

package routing

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

const (
	// versionRetention is how long a version counts at least after the entry of its last replica is gone. Streams that
	// began at it may still be resumed that long.
	versionRetention = 2 * time.Minute
	// maxStreamLife bounds how long a stream is assumed to last. Origins are kept as long at most.
	maxStreamLife = maxOriginLife
	// minStreamLife is the least time for which a stream is assumed to last: the configuration may just have
	// lowered the timeouts of streams that began before.
	minStreamLife = 10 * time.Second
)

// severalVersions stands for the only version of a service that has, or lately had, several.
const severalVersions VersionKey = 0

// VersionHistory records the software versions that the replicas of each service have, or lately had. The
// caller synchronizes access.
type VersionHistory struct {
	services   map[ServiceName]map[VersionKey]*versionUse
	streamLife time.Duration // the longest that a stream could last in any configuration
	since      time.Time     // from which it is complete; zero: it has not begun
	observed   feed.Position // of the documents with which this daemon began to observe

	touched      []*versionUse // whose number of replicas has changed since the last call of Learn
	awaiting     []*versionUse // that have joined and are not established (establishment.go)
	hasDocuments bool          // Learn was called
}

// versionUse is the use of one version.
type versionUse struct {
	service  ServiceName
	key      VersionKey
	version  SoftwareVersion // as its replicas name it; empty also if it is only known from peers
	replicas int             // that have an entry
	leftAt   time.Time       // when the last entry was gone
	touched  bool            // it is in VersionHistory.touched
	paused   bool            // since the last call of Learn it had no entry for a moment
	joined   joining
}

// VersionReport is a daemon's history of versions in a message to a peer.
type VersionReport struct {
	At       feed.Position // of the daemon's documents
	Complete time.Duration // how long the history is complete
	Versions []UsedVersion
}

// UsedVersion is a software version that a service has, or lately had.
type UsedVersion struct {
	Service ServiceName
	Version VersionKey
	LeftFor time.Duration // since the entry of its last replica is gone; 0 if there is one
	// KnownFor is how long the sender has known at least that the version joined the service; 0 if it is the only one or has left,
	// or if the sender's build does not tell.
	KnownFor time.Duration
}

// NewVersionHistory returns an empty record that has not begun.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{services: make(map[ServiceName]map[VersionKey]*versionUse)}
}

// Begin records that the history is complete only from now on. at is the position of the daemon's documents.
func (h *VersionHistory) Begin(at feed.Position, now time.Time) { h.since, h.observed = now, at }

// RetainFor records how long a stream can last. The time does not fall: streams of before may last as long as they could then.
func (h *VersionHistory) RetainFor(streamLife time.Duration) {
	h.streamLife = max(h.streamLife, streamLife)
}

// retention returns how long a version counts after the entry of its last replica is gone.
func (h *VersionHistory) retention() time.Duration { return max(versionRetention, h.streamLife) }

// Since returns the time from which the history is complete; the zero time if it has not begun.
func (h *VersionHistory) Since() time.Time { return h.since }

// Add records that a replica has an entry. Learn must be called before the next request is placed.
func (h *VersionHistory) Add(r *Replica) {
	u := h.use(r.Service, r.versionKey)
	u.version = r.Version
	u.replicas++
	h.touch(u)
}

// touch records that the number of a version's replicas has changed.
func (h *VersionHistory) touch(u *versionUse) {
	if !u.touched {
		u.touched, h.touched = true, append(h.touched, u)
	}
}

// use returns the use of a version, creating it if needed.
func (h *VersionHistory) use(s ServiceName, v VersionKey) *versionUse {
	uses := h.services[s]
	if uses == nil {
		uses = make(map[VersionKey]*versionUse)
		h.services[s] = uses
	}
	if uses[v] == nil {
		uses[v] = &versionUse{service: s, key: v}
	}
	return uses[v]
}

// Remove records that the entry of a replica, for which Add was called, is gone or has changed.
func (h *VersionHistory) Remove(r *Replica, now time.Time) {
	u := h.services[r.Service][r.versionKey]
	u.replicas--
	u.leftAt, u.paused = now, u.paused || u.replicas == 0
	h.touch(u)
}

// Only returns the only version that each service has, or lately had, or severalVersions.
func (h *VersionHistory) Only(now time.Time) map[ServiceName]VersionKey {
	h.forget(now)
	out := make(map[ServiceName]VersionKey, len(h.services))
	for service, uses := range h.services {
		for key := range uses {
			if len(uses) > 1 {
				key = severalVersions
			}
			out[service] = key
		}
	}
	return out
}

// forget removes versions that do not count any more.
func (h *VersionHistory) forget(now time.Time) {
	for service, uses := range h.services {
		for key, u := range uses {
			if u.replicas == 0 && now.Sub(u.leftAt) > h.retention() {
				delete(uses, key)
			}
		}
		if len(uses) == 0 {
			delete(h.services, service)
		}
	}
}

// Report returns the history for a peer. at is the position of the daemon's documents.
func (h *VersionHistory) Report(at feed.Position, now time.Time) VersionReport {
	h.forget(now)
	r := VersionReport{At: at}
	if !h.since.IsZero() {
		r.Complete = min(now.Sub(h.since), h.retention())
	}
	for service, uses := range h.services {
		for key, u := range uses {
			used := UsedVersion{Service: service, Version: key, KnownFor: h.knownFor(u, now)}
			if u.replicas == 0 {
				used.LeftFor = now.Sub(u.leftAt)
			}
			r.Versions = append(r.Versions, used)
		}
	}
	slices.SortFunc(r.Versions, func(a, b UsedVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return r
}

// Merge takes over the history of a peer. It returns true if the history became complete for longer.
func (h *VersionHistory) Merge(r *VersionReport, now time.Time) bool {
	for _, used := range r.Versions {
		u := h.use(used.Service, used.Version)
		u.leftAt = latest(u.leftAt, now.Add(-used.LeftFor))
		u.mergeKnown(used.KnownFor, now)
	}
	since := now.Add(-r.Complete)
	if r.Complete == versionRetention {
		since = now.Add(-h.retention())
	}
	if r.At.Before(h.observed) || !since.Before(h.since) {
		return false
	}
	h.since = since
	return true
}
