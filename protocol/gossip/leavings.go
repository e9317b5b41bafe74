// This file encodes reports of replicas that leave by their own word. A daemon of an earlier
// build drops them, and goes by the entries of replicas.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxLeavings is how many reports fit a datagram with room to spare.
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

// IsLeavings reports whether a datagram is meant for [DecodeLeavings].
func IsLeavings(payload []byte) bool { return isReports(payload, kindLeavings) }

// DecodeLeavings is the reverse of [EncodeLeavings].
func DecodeLeavings(payload []byte) ([]routing.DepartureReport, error) {
	return decodeReports(payload, kindLeavings, func(m leavingMessage) routing.DepartureReport {
		return routing.DepartureReport{Replica: m.Replica, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
