// This file defines identifiers and units. They are distinct types so that, for
// example, an upstream can't be passed where a workspace is expected.

package state

import "strconv"

type (
	// DaemonID identifies the daemon of an entry VM. It stays the same across
	// restarts.
	DaemonID string
	// UpstreamID identifies an engine replica or a service replica.
	UpstreamID string
	// FailureDomain is the name of a failure domain, such as "ahd-a".
	FailureDomain string
	// RegionID identifies a [Region].
	RegionID string
	// WorkspaceID identifies a workspace.
	WorkspaceID string
	// ModelID is the name of a model or adapter as callers write it in a request.
	ModelID string
	// GroupID identifies an engine group of the configuration file.
	GroupID string
	// ServiceID identifies a plain service.
	ServiceID string
	// RequestID identifies a request of a caller.
	RequestID string
)

// Incarnation distinguishes the runs of a process: a process that restarts under
// the same id gets a higher incarnation. Zero means unknown.
type Incarnation uint64

// ConfigVersion is the version that operators set in the configuration file.
type ConfigVersion uint64

// ListRevision orders the member lists that the platform publishes.
type ListRevision uint64

// ChatKey identifies a chat for placement. It is a hash; a collision between two
// chats only reduces cache locality.
type ChatKey uint64

// Load is the outstanding work of an upstream as reported by the upstream, in
// thousandths of a request of average cost.
type Load uint32

// Admission is the share of its traffic that an upstream may still receive, in
// units of 1/AdmitAll.
type Admission uint16

// AdmitAll is the admission of an upstream that may receive all of its traffic.
const AdmitAll Admission = 65535

// String formats the admission as a share between 0 and 1.
func (a Admission) String() string {
	return strconv.FormatFloat(float64(a)/float64(AdmitAll), 'f', 2, 64)
}
