// This file encodes reports of services whose replicas are brittle. A daemon of an earlier build drops them.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxBrittle is the number of reports that fit a datagram, for names of services of up to 64 bytes.
const MaxBrittle = 16

type brittleMessage struct {
	_       struct{} `cbor:",toarray"`
	Service routing.ServiceName
	Limit   routing.RejectionLimit
	Age     uint32 // in milliseconds
	// Rejecting is the key of a replica that rejected a request; 0: none.
	Rejecting routing.LoadKey
}

// EncodeBrittle encodes up to [MaxBrittle] reports.
func EncodeBrittle(reports []routing.BrittleReport) ([]byte, error) {
	return encodeReports(kindBrittle, MaxBrittle, reports, func(r routing.BrittleReport) brittleMessage {
		return brittleMessage{Service: r.Service, Limit: r.Limit, Age: milliseconds(r.Age), Rejecting: r.Rejecting}
	})
}

// IsBrittle reports whether a datagram holds reports of brittle services.
func IsBrittle(payload []byte) bool { return isReports(payload, kindBrittle) }

// DecodeBrittle decodes a datagram of reports of brittle services.
func DecodeBrittle(payload []byte) ([]routing.BrittleReport, error) {
	return decodeReports(payload, kindBrittle, func(m brittleMessage) routing.BrittleReport {
		return routing.BrittleReport{Service: m.Service, Limit: m.Limit, Age: time.Duration(m.Age) * time.Millisecond, Rejecting: m.Rejecting}
	})
}
