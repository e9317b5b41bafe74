// This file encodes reports of overloaded replicas. A daemon of an earlier build drops them
// and applies the load bound to its own estimate of each replica's load.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxOverloads is the number of reports that safely fit a datagram.
const MaxOverloads = 60

type overloadMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Prompt  routing.PromptKey
	Homes   uint16
	Age     uint32 // in milliseconds
}

// EncodeOverloads encodes up to [MaxOverloads] reports.
func EncodeOverloads(reports []routing.OverloadReport) ([]byte, error) {
	return encodeReports(kindOverloads, MaxOverloads, reports, func(r routing.OverloadReport) overloadMessage {
		return overloadMessage{Replica: r.Replica, Prompt: r.Prompt, Homes: r.Homes, Age: milliseconds(r.Age)}
	})
}

// IsOverloads reports whether a datagram holds overload reports.
func IsOverloads(payload []byte) bool { return isReports(payload, kindOverloads) }

// DecodeOverloads decodes a datagram of overload reports.
func DecodeOverloads(payload []byte) ([]routing.OverloadReport, error) {
	return decodeReports(payload, kindOverloads, func(m overloadMessage) routing.OverloadReport {
		return routing.OverloadReport{Replica: m.Replica, Prompt: m.Prompt, Homes: m.Homes, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
