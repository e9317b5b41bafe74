// This file keeps a stream at the software version that began it. Replicas of a service may run several
// versions side by side, and what two versions write does not fit together: a stream that has events of
// one version must not go on at another. Replicas don't check this.
//
// Inputs: the versions that replicas' entries name, and the version at which a stream began: that of the
// replica that sent its first event, or for a stream that its caller resumes, what origins.go knows. The
// rule:
//
//  1. A request whose stream began at a version gets replicas of that version only, whatever else is
//     left. Its version belongs to an incarnation: a replica that restarted under its id may have another.
//  2. Where a service has, or lately had, several versions (version_history.go), replicas that don't name theirs
//     match none, and neither do terminated ones: another incarnation with another version may already
//     listen at their address. A stream that began at one of these is bound to no version that any replica has.
//  3. If no replica of the version is ready, the stream is broken off, or refused, at once.

package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/coordination"
)

// SoftwareVersion is the version of the software that a replica runs, as the replica names it. Versions
// have no order.
type SoftwareVersion string

// maxVersionText is how much of a version logs and operators are shown, in bytes.
const maxVersionText = 64

// String returns the version as logs and operators are shown it.
func (v SoftwareVersion) String() string { return string(v[:min(len(v), maxVersionText)]) }

// VersionKey identifies a software version of one service, in tables and in messages between daemons. It
// is a hash. 0 stands for any version.
type VersionKey uint32

// uncertainVersion is the key of replicas that don't name their version, and of streams whose version is
// not certain.
const uncertainVersion VersionKey = 1

func newVersionKey(s ServiceName, v SoftwareVersion) VersionKey {
	if v == "" {
		return uncertainVersion
	}
	return max(uncertainVersion+1, VersionKey(xxhash.Sum64String(string(s)+"\x00"+string(v))))
}

// VersionKey returns the key of the replica's software version.
func (r *Replica) VersionKey() VersionKey { return r.versionKey }

// VersionAt returns the key of the software version that a replica runs at a time, as far as it is certain.
func (p *Placer) VersionAt(r *Replica, now time.Time) VersionKey {
	if p.Health.HasTerminated(r, now) {
		return uncertainVersion
	}
	return r.versionKey
}

// hasVersion reports whether a stream that began at a version may go on at the replica. several says that
// the service has, or lately had, several versions.
func (r *Replica) hasVersion(v VersionKey, several bool) bool {
	switch v {
	case 0:
		return true
	case uncertainVersion:
		return !several
	}
	return r.versionKey == v
}

// hasSeveralVersions reports whether replicas have different versions.
func hasSeveralVersions(lists ...[]Replica) bool {
	var first VersionKey
	for _, list := range lists {
		for i := range list {
			if first == 0 {
				first = list[i].versionKey
			}
			if list[i].versionKey != first {
				return true
			}
		}
	}
	return false
}

// HasSeveralVersions reports whether a service is known to have, or to have had lately, replicas of several
// software versions.
func (v *View) HasSeveralVersions(s ServiceName) bool {
	only, ok := v.Versions[s]
	return ok && only == severalVersions || v.Pool(s).mixed
}

// OnlyVersion returns the software version of a service that is known to have, and to have had for as long as a
// stream can last, only one; 0 if it had no replica at all. It returns false if the service has several, or if
// this daemon can't know.
func (v *View) OnlyVersion(s ServiceName, now time.Time) (VersionKey, bool) {
	if v.HasSeveralVersions(s) || !v.KnowsVersions(now) {
		return 0, false
	}
	return v.Versions[s], true
}

// HasVersion reports whether a ready replica of a service has a software version.
func (v *View) HasVersion(s ServiceName, key VersionKey) bool {
	return slices.ContainsFunc(v.Pool(s).Ready, func(r Replica) bool { return r.versionKey == key })
}

// KnowsVersions reports whether this daemon knows all versions that services had for as long as a stream can last.
func (v *View) KnowsVersions(now time.Time) bool {
	return !v.VersionsSince.IsZero() && now.Sub(v.VersionsSince) >= v.Table.StreamLife()
}

// withOtherVersions returns a set of ready replicas of the pool together with those at which a stream of
// a version can't go on.
func (p *Pool) withOtherVersions(set replicaSet, v VersionKey, several bool) replicaSet {
	if v == 0 {
		return set
	}
	for i := range p.Ready {
		if !p.Ready[i].hasVersion(v, several) {
			set = set.with(i, len(p.Ready))
		}
	}
	return set
}

// lacksVersion reports whether replicas are ready, but none at which a stream of a version can go on.
func (p *Pool) lacksVersion(v VersionKey, several bool) bool {
	for i := range p.Ready {
		if p.Ready[i].hasVersion(v, several) {
			return false
		}
	}
	return len(p.Ready) > 0
}

// retryAfterVersion is the time after which a caller should try again to resume a stream for whose
// version no replica is ready. A replica that crashed is back after some seconds.
const retryAfterVersion = time.Second

var noVersion = coordination.NotRun{Reason: coordination.ReasonVersionGone, RetryAfter: retryAfterVersion}
