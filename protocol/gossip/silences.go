// This file encodes reports of silent replicas. A daemon of an earlier build drops them, and
// finds silent replicas by its own requests.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxSilences is how many reports fit a datagram with room to spare.
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

// IsSilences reports whether a datagram is meant for [DecodeSilences].
func IsSilences(payload []byte) bool { return isReports(payload, kindSilences) }

// DecodeSilences is the reverse of [EncodeSilences].
func DecodeSilences(payload []byte) ([]routing.SilenceReport, error) {
	return decodeReports(payload, kindSilences, func(m silenceMessage) routing.SilenceReport {
		return routing.SilenceReport{Replica: m.Replica, Reporter: m.Reporter, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
