// This file encodes reports of overloaded replicas. A daemon of an earlier build drops them
// and applies the load bound to its own estimate of each replica's load.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxCrowds is the number of reports that safely fit a datagram.
const MaxCrowds = 60

type crowdMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Prompt  routing.PromptKey
	Homes   uint16
	Age     uint32 // in milliseconds
}

// EncodeCrowds encodes up to [MaxCrowds] reports.
func EncodeCrowds(reports []routing.OverloadReport) ([]byte, error) {
	return encodeReports(kindCrowds, MaxCrowds, reports, func(r routing.OverloadReport) crowdMessage {
		return crowdMessage{Replica: r.Replica, Prompt: r.Prompt, Homes: r.Homes, Age: milliseconds(r.Age)}
	})
}

// IsCrowds reports whether a datagram holds overload reports.
func IsCrowds(payload []byte) bool { return isReports(payload, kindCrowds) }

// DecodeCrowds decodes a datagram of overload reports.
func DecodeCrowds(payload []byte) ([]routing.OverloadReport, error) {
	return decodeReports(payload, kindCrowds, func(m crowdMessage) routing.OverloadReport {
		return routing.OverloadReport{Replica: m.Replica, Prompt: m.Prompt, Homes: m.Homes, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
