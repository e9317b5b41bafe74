// This file encodes reports of parts of prompts on which replicas crashed. A daemon of an earlier build
// drops them and keeps forwarding requests with such parts.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxPartCrashes is the number of reports that safely fit a datagram.
const MaxPartCrashes = 35

type partCrashMessage struct {
	_       struct{} `cbor:",toarray"`
	Part    routing.ContentKey
	Caller  routing.CallerKey
	Replica routing.LoadKey    // 0 if the report clears the part or is a verdict
	Request routing.ContentKey // content of the request that had the part
	Clears  bool
	Verdict bool
	Age     uint32 // in milliseconds
}

// EncodePartCrashes encodes up to [MaxPartCrashes] reports.
func EncodePartCrashes(reports []routing.CrashReport) ([]byte, error) {
	return encodeReports(kindPartCrashes, MaxPartCrashes, reports, func(r routing.CrashReport) partCrashMessage {
		return partCrashMessage{
			Part: r.Content, Caller: r.Caller, Replica: r.Replica, Request: r.Request, Clears: r.Clears, Verdict: r.Verdict, Age: milliseconds(r.Age),
		}
	})
}

// IsPartCrashes reports whether a datagram holds reports of parts on which replicas crashed.
func IsPartCrashes(payload []byte) bool { return isReports(payload, kindPartCrashes) }

// DecodePartCrashes decodes a datagram of reports of parts on which replicas crashed.
func DecodePartCrashes(payload []byte) ([]routing.CrashReport, error) {
	return decodeReports(payload, kindPartCrashes, func(m partCrashMessage) routing.CrashReport {
		return routing.CrashReport{
			Content: m.Part, Caller: m.Caller, Replica: m.Replica, Request: m.Request, Clears: m.Clears, Verdict: m.Verdict,
			Age: time.Duration(m.Age) * time.Millisecond,
		}
	})
}
