// This file encodes reports that replicas reported as terminated are alive. A daemon of an
// earlier build drops them and sends such a replica no requests for 10 s.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxLiveness is the number of reports that safely fit a datagram.
const MaxLiveness = 80

type livenessMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Since   uint32 // in milliseconds
	Age     uint32 // in milliseconds
}

// EncodeLiveness encodes up to [MaxLiveness] reports.
func EncodeLiveness(reports []routing.LivenessReport) ([]byte, error) {
	return encodeReports(kindLiveness, MaxLiveness, reports, func(r routing.LivenessReport) livenessMessage {
		return livenessMessage{Replica: r.Replica, Since: milliseconds(r.Since), Age: milliseconds(r.Age)}
	})
}

// IsLiveness reports whether a datagram holds liveness reports.
func IsLiveness(payload []byte) bool { return isReports(payload, kindLiveness) }

// DecodeLiveness decodes a datagram of liveness reports.
func DecodeLiveness(payload []byte) ([]routing.LivenessReport, error) {
	return decodeReports(payload, kindLiveness, func(m livenessMessage) routing.LivenessReport {
		return routing.LivenessReport{Replica: m.Replica, Since: time.Duration(m.Since) * time.Millisecond, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
