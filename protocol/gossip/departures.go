// This file encodes reports of replicas that announced their departure. A daemon of an earlier
// build drops them and relies on the replicas' entries.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxDepartures is the number of reports that safely fit a datagram.
const MaxDepartures = 100

type departureMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Age     uint32 // in milliseconds
}

// EncodeDepartures encodes up to [MaxDepartures] reports.
func EncodeDepartures(reports []routing.DepartureReport) ([]byte, error) {
	return encodeReports(kindDepartures, MaxDepartures, reports, func(r routing.DepartureReport) departureMessage {
		return departureMessage{Replica: r.Replica, Age: milliseconds(r.Age)}
	})
}

// IsDepartures reports whether a datagram holds departure reports.
func IsDepartures(payload []byte) bool { return isReports(payload, kindDepartures) }

// DecodeDepartures decodes a datagram of departure reports.
func DecodeDepartures(payload []byte) ([]routing.DepartureReport, error) {
	return decodeReports(payload, kindDepartures, func(m departureMessage) routing.DepartureReport {
		return routing.DepartureReport{Replica: m.Replica, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
