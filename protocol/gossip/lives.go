// This file encodes reports that replicas reported as terminated are alive. A daemon of an
// earlier build drops them and sends such a replica no requests for 10 s.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxLives is the number of reports that safely fit a datagram.
const MaxLives = 80

type lifeMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Since   uint32 // in milliseconds
	Age     uint32 // in milliseconds
}

// EncodeLives encodes up to [MaxLives] reports.
func EncodeLives(reports []routing.LivenessReport) ([]byte, error) {
	return encodeReports(kindLives, MaxLives, reports, func(r routing.LivenessReport) lifeMessage {
		return lifeMessage{Replica: r.Replica, Since: milliseconds(r.Since), Age: milliseconds(r.Age)}
	})
}

// IsLives reports whether a datagram holds liveness reports.
func IsLives(payload []byte) bool { return isReports(payload, kindLives) }

// DecodeLives decodes a datagram of liveness reports.
func DecodeLives(payload []byte) ([]routing.LivenessReport, error) {
	return decodeReports(payload, kindLives, func(m lifeMessage) routing.LivenessReport {
		return routing.LivenessReport{Replica: m.Replica, Since: time.Duration(m.Since) * time.Millisecond, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
