// This file encodes reports of requests during which replicas crashed. A daemon of an
// earlier build drops them and keeps forwarding such requests.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxCrashes is the number of reports that safely fit a datagram.
const MaxCrashes = 50

type crashMessage struct {
	_       struct{} `cbor:",toarray"`
	Content routing.ContentKey
	Caller  routing.CallerKey
	Replica routing.LoadKey // 0 if the report clears the content
	Clears  bool
	Age     uint32 // in milliseconds
}

// EncodeCrashes encodes up to [MaxCrashes] reports.
func EncodeCrashes(reports []routing.CrashReport) ([]byte, error) {
	return encodeReports(kindCrashes, MaxCrashes, reports, func(r routing.CrashReport) crashMessage {
		return crashMessage{Content: r.Content, Caller: r.Caller, Replica: r.Replica, Clears: r.Clears, Age: milliseconds(r.Age)}
	})
}

// IsCrashes reports whether a datagram holds crash reports.
func IsCrashes(payload []byte) bool { return isReports(payload, kindCrashes) }

// DecodeCrashes decodes a datagram of crash reports.
func DecodeCrashes(payload []byte) ([]routing.CrashReport, error) {
	return decodeReports(payload, kindCrashes, func(m crashMessage) routing.CrashReport {
		return routing.CrashReport{
			Content: m.Content, Caller: m.Caller, Replica: m.Replica, Clears: m.Clears, Age: time.Duration(m.Age) * time.Millisecond,
		}
	})
}
