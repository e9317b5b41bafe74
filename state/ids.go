// This file defines the identifiers and units. They are distinct types so that
// an upstream can't be passed where a workspace is meant.

package state

import "strconv"

type (
	// DaemonID names one entry VM's daemon. It survives a restart.
	DaemonID string
	// UpstreamID names one engine replica or service replica.
	UpstreamID string
	// FailureDomain names a failure domain, such as "ahd-a".
	FailureDomain string
	// RegionID names a set of failure domains that are near to each other.
	RegionID string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// ModelID names a model as callers write it in a request.
	ModelID string
	// GroupID names an engine group of the operators' file.
	GroupID string
	// ServiceID names a plain service.
	ServiceID string
	// RequestID names one request of a caller.
	RequestID string
)

// Incarnation distinguishes the starts of one process: a restart under the same
// id has a higher incarnation. Zero means unknown.
type Incarnation uint64

// ConfigVersion is the version that operators write into their file.
type ConfigVersion uint64

// ListRevision orders the member lists that the platform publishes.
type ListRevision uint64

// ChatKey identifies a chat for placement. It is a hash: two chats may share
// one, which costs cache locality and nothing else.
type ChatKey uint64

// Load is an upstream's outstanding work in thousandths of a request of
// average cost, as the upstream reports it.
type Load uint32

// Admission is the share of an upstream's own traffic that it may still take, in
// units of 1/GateFull.
type Admission uint16

// AdmitAll is the admission of an upstream that takes all of its own traffic.
const AdmitAll Admission = 65535

// String formats the admission as a share between 0 and 1.
func (a Admission) String() string {
	return strconv.FormatFloat(float64(a)/float64(AdmitAll), 'f', 2, 64)
}
