// This file decides at which software versions no stream may begin yet, since a daemon that does not know the version may
// still take the service for one of a single version and resume the stream at another one.
//
// Inputs: when each version joined its service, and the position of the documents with which it did; the histories of peers,
// which tell for how long they have known it; and whether all daemons hold documents at a position
// (coordination/membership/positions.go). The rule:
//
//  1. A version joins a service with the first entry of a replica that has it, and again if there was none in between: a
//     daemon may lack what came and went.
//  2. It is new until establishmentTime after this daemon's position told of it first, or a peer, whose history tells it, learned
//     of it, or until all daemons have told that they hold the documents with it. The position tells of the entries in a list of the
//     store only once its last page is read: until then a peer may take its own documents for as new. If all entries of a
//     version were written anew with one change, the position to be told is that of the change: they may have been gone in
//     between. Once it is established it stays so.
//  3. The version that was known first, of those that a service has or lately had, is never new: a daemon that knows one
//     version knows that one. If several came first with the same documents, all of these are new.
//  4. A daemon does not know when the versions of its first documents joined, nor which of several did first. They count as
//     having joined then, before all later ones, until a peer's history tells for how long they have been known.
//  5. A request of a route of streams whose stream has not begun gets no replica of a new version while a replica of an
//     established one is usable: it may be chosen, it is neither ejected, silent, terminated nor cut off, and one of these has a
//     free slot and a load within the bound of placement (place.go), as far as this daemon knows. The bound is one of the mean over
//     all replicas, new ones too: the others would get more than their share for that time. Otherwise the replicas of new versions
//     are candidates like all others: a request is not refused, or sent where it is likely to fail, for what may come of its
//     stream. So it is where the established replicas are full, cold and at their limit, at rest, evacuated or failing.
//  6. The first event of a stream that may be resumed elsewhere, and that begins at a new version all the same, is passed on
//     once the version is established: until then its caller has nothing to resume it by. The replica works on it meanwhile.
//  7. Other requests, and streams that are bound to a version, are not affected.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
)

// establishmentTime is how long a daemon that does not know a version may take its knowledge for complete: the lease, and 600 ms for
// messages that wait unnoticed and for their transit.
const establishmentTime = membership.VersionLease + 600*time.Millisecond

// NewVersions is the new software versions of each service that has one; nil: none.
type NewVersions map[ServiceName][]VersionKey

// EstablishmentBasis says how it is known that a version is established.
type EstablishmentBasis string

// The empty basis is that of a version that is not established.
const (
	EstablishedByTime    EstablishmentBasis = "time"
	EstablishedByMembers EstablishmentBasis = "members" // all have told that they hold the documents with the version
	EstablishedAsFirst   EstablishmentBasis = "first"   // by rule 3, since the versions that were known before count no more
)

// VersionChange says that a version of a service has become new, or is established.
type VersionChange struct {
	Service  ServiceName
	Version  SoftwareVersion
	Replicas int // that have an entry
	Known    time.Duration
	Basis    EstablishmentBasis // empty: it has become new
}

// joining is when and how a version joined its service.
type joining struct {
	isHere bool          // a replica had an entry when Learn was last called
	at     time.Time     // when it is first known to have joined; zero: it is only known from peers
	with   feed.Position // of the documents since which some replica has had an entry without a break
	first  bool          // they were the daemon's first ones, and no peer has told when it joined: at is the latest time at which it did
	listed bool          // the own position has not reached with, since a list of the store is being read
	told   bool          // a peer has told for how long it has known it
	isNew  bool
}

// Learn records the position of the documents whose entries were added and removed since the last call. Versions that
// have joined with them are new until they are established.
func (h *VersionHistory) Learn(at feed.Position, now time.Time) {
	for _, u := range h.touched {
		isHere := u.replicas > 0
		switch {
		case isHere && !u.joined.isHere:
			u.joined = joining{at: now, with: at, first: !h.hasDocuments}
			h.await(u)
		case isHere && u.paused:
			u.joined.with = at
		}
		u.touched, u.paused, u.joined.isHere = false, false, isHere
	}
	h.touched, h.hasDocuments = h.touched[:0], true
}

// await adds a version to those that are not established.
func (h *VersionHistory) await(u *versionUse) {
	if !slices.Contains(h.awaiting, u) {
		h.awaiting = append(h.awaiting, u)
	}
}

// AwaitsEstablishment reports whether a version may be new, so that Establish has to be called.
func (h *VersionHistory) AwaitsEstablishment() bool { return len(h.awaiting) > 0 }

// Establish determines which versions are new, by rules 2 and 3, and returns what has changed. own is the position of the own
// documents. allHold reports whether all daemons are known to hold a document that came with a position.
func (h *VersionHistory) Establish(now time.Time, own feed.Position, allHold func(feed.Position) bool) []VersionChange {
	if len(h.awaiting) == 0 {
		return nil
	}
	h.forget(now)
	var out []VersionChange
	for _, u := range h.awaiting {
		u.joined.countFrom(own, now)
	}
	h.awaiting = slices.DeleteFunc(h.awaiting, func(u *versionUse) bool {
		basis := u.establishedBy(now, allHold)
		wasNew, isGone := u.joined.isNew, u.replicas == 0
		u.joined.isNew = basis == "" && (wasNew || !isGone) && !h.isKnownFirst(u)
		if u.joined.isNew != wasNew {
			if wasNew && basis == "" {
				basis = EstablishedAsFirst
			}
			change := VersionChange{Service: u.service, Version: u.version, Replicas: u.replicas, Known: now.Sub(u.joined.at), Basis: basis}
			out = append(out, change)
		}
		return basis != "" || isGone && !u.joined.isNew
	})
	return out
}

// countFrom moves the time of the joining on until the own position has reached that of the documents, by rule 2.
func (j *joining) countFrom(own feed.Position, now time.Time) {
	if j.told {
		return
	}
	isListed := own.Before(j.with)
	if isListed || j.listed {
		j.at = now
	}
	j.listed = isListed
}

// establishedBy returns why a version is established, by rule 2; empty: it is not.
func (u *versionUse) establishedBy(now time.Time, allHold func(feed.Position) bool) EstablishmentBasis {
	switch {
	case now.Sub(u.joined.at) >= establishmentTime:
		return EstablishedByTime
	case u.replicas > 0 && allHold(u.joined.with):
		return EstablishedByMembers
	}
	return ""
}

// isKnownFirst reports whether a version is known to have joined its service before all others. Of several that joined with the same
// documents none is: another daemon may know any one of them alone.
func (h *VersionHistory) isKnownFirst(u *versionUse) bool {
	for _, other := range h.services[u.service] {
		isLater := u.joined.at.Before(other.joined.at) || u.joined.first && u.joined.at.Equal(other.joined.at)
		if other != u && (other.joined.first || !isLater) {
			return false
		}
	}
	return true
}

// New returns the versions that are new since the last call of Establish.
func (h *VersionHistory) New() NewVersions {
	var out NewVersions
	for _, u := range h.awaiting {
		if !u.joined.isNew {
			continue
		}
		if out == nil {
			out = make(NewVersions)
		}
		out[u.service] = append(out[u.service], u.key)
	}
	return out
}

// knownFor returns for how long a version has been known at least, for a peer; 0: of no use to the peer, since the service has
// one version.
func (h *VersionHistory) knownFor(u *versionUse, now time.Time) time.Duration {
	if u.replicas == 0 || !u.joined.isHere || len(h.services[u.service]) < 2 {
		return 0
	}
	return max(time.Millisecond, now.Sub(u.joined.at))
}

// mergeKnown takes over for how long a peer has known a version that replicas have here. The peer's time may only be
// earlier: what it knew was in the store.
func (u *versionUse) mergeKnown(known time.Duration, now time.Time) {
	if known <= 0 || !u.joined.isHere {
		return
	}
	if at := now.Add(-known); at.Before(u.joined.at) {
		u.joined.at, u.joined.told = at, true
	}
	u.joined.first = false
}
