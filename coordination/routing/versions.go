// The software versions of a service's replicas.

package routing

// SoftwareVersion is the version of the software that a replica runs, as the replica names it. Versions
// have no order. The replicas of a service may run several versions at a time.
type SoftwareVersion string

// maxVersionText is how much of a version logs and operators are shown, in bytes.
const maxVersionText = 64

// String returns the version as logs and operators are shown it.
func (v SoftwareVersion) String() string { return string(v[:min(len(v), maxVersionText)]) }
