// This file encodes reports of crowded replicas. A daemon of an earlier build drops them,
// and holds replicas to the bound by what it knows of their loads.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxCrowds is how many reports fit a datagram with room to spare.
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

// IsCrowds reports whether a datagram is meant for [DecodeCrowds].
func IsCrowds(payload []byte) bool { return isReports(payload, kindCrowds) }

// DecodeCrowds is the reverse of [EncodeCrowds].
func DecodeCrowds(payload []byte) ([]routing.OverloadReport, error) {
	return decodeReports(payload, kindCrowds, func(m crowdMessage) routing.OverloadReport {
		return routing.OverloadReport{Replica: m.Replica, Prompt: m.Prompt, Homes: m.Homes, Age: time.Duration(m.Age) * time.Millisecond}
	})
}
