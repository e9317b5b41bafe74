// This file encodes reports of replicas that announced their departure. A daemon of an earlier
// build drops them and relies on the replicas' entries.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxLeavings is the number of reports that safely fit a datagram.
const MaxLeavings = 100

type leavingMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Age     uint32 // in milliseconds
}

// EncodeLeavings encodes up to [MaxLeavings] reports.
func EncodeLeavings(reports []routing.DepartureReport) ([]byte, error) {
	return encodeReports(kindLeavings, MaxLeavings, reports, func(r routing.DepartureReport) leavingMessage {
		return leavingMessage{Replica: r.Replica, Age: milliseconds(r.Age)}
	})
}

// IsLeavings reports whether a datagram holds departure reports.
func IsLeavings(payload []byte) bool { return isReports(payload, kindLeavings) }

// DecodeLeavings decodes a datagram of departure reports.
func DecodeLeavings(payload []byte) ([]routing.DepartureReport, error) {
	return decodeReports(payload, kindLeavings, func(m leavingMessage) routing.DepartureReport {
		return routing.DepartureReport{Replica: m.Replica, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
