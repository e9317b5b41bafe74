// This file encodes reports of silent replicas. A daemon of an earlier build drops them and
// detects silent replicas only by its own requests.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxSilences is the number of reports that safely fit a datagram.
const MaxSilences = 80

type silenceMessage struct {
	_        struct{} `cbor:",toarray"`
	Replica  routing.LoadKey
	Reporter routing.ReporterID
	Age      uint32 // in milliseconds
}

// EncodeSilences encodes up to [MaxSilences] reports.
func EncodeSilences(reports []routing.SilenceReport) ([]byte, error) {
	return encodeReports(kindSilences, MaxSilences, reports, func(r routing.SilenceReport) silenceMessage {
		return silenceMessage{Replica: r.Replica, Reporter: r.Reporter, Age: milliseconds(r.Age)}
	})
}

// IsSilences reports whether a datagram holds reports of silent replicas.
func IsSilences(payload []byte) bool { return isReports(payload, kindSilences) }

// DecodeSilences decodes a datagram of reports of silent replicas.
func DecodeSilences(payload []byte) ([]routing.SilenceReport, error) {
	return decodeReports(payload, kindSilences, func(m silenceMessage) routing.SilenceReport {
		return routing.SilenceReport{Replica: m.Replica, Reporter: m.Reporter, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
