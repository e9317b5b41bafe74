// This file determines which services have, or lately had, replicas of several software versions.

package routing

import "time"

// versionRetention is how long a version counts after the entry of its last replica is gone. Streams that
// began at it may still be resumed that long.
const versionRetention = 2 * time.Minute

// VersionHistory records the software versions that the replicas of each service have, or lately had. The
// caller synchronizes access.
type VersionHistory struct {
	services map[ServiceName]map[VersionKey]*versionUse
}

// versionUse is the use of one version.
type versionUse struct {
	replicas int       // that have an entry
	leftAt   time.Time // when the last entry was gone
}

// NewVersionHistory returns an empty record.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{services: make(map[ServiceName]map[VersionKey]*versionUse)}
}

// Add records that a replica has an entry.
func (h *VersionHistory) Add(r *Replica) {
	uses := h.services[r.Service]
	if uses == nil {
		uses = make(map[VersionKey]*versionUse)
		h.services[r.Service] = uses
	}
	if uses[r.versionKey] == nil {
		uses[r.versionKey] = &versionUse{}
	}
	uses[r.versionKey].replicas++
}

// Remove records that the entry of a replica, for which Add was called, is gone or has changed.
func (h *VersionHistory) Remove(r *Replica, now time.Time) {
	u := h.services[r.Service][r.versionKey]
	u.replicas--
	u.leftAt = now
}

// Several returns the services that have, or lately had, several versions; nil if there are none.
func (h *VersionHistory) Several(now time.Time) map[ServiceName]bool {
	var out map[ServiceName]bool
	for service, uses := range h.services {
		for key, u := range uses {
			if u.replicas == 0 && now.Sub(u.leftAt) > versionRetention {
				delete(uses, key)
			}
		}
		if len(uses) < 2 {
			continue
		}
		if out == nil {
			out = make(map[ServiceName]bool)
		}
		out[service] = true
	}
	return out
}
