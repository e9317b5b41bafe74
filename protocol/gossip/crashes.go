// This file encodes reports of requests that replicas ended under. A daemon of an earlier
// build drops them, and sends such requests on.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxCrashes is how many reports fit a datagram with room to spare.
const MaxCrashes = 50

type crashMessage struct {
	_       struct{} `cbor:",toarray"`
	Content routing.ContentKey
	Caller  routing.CallerKey
	Replica routing.LoadKey // 0 if the content is acquitted
	Acquits bool
	Age     uint32 // in milliseconds
}

// EncodeCrashes encodes up to [MaxCrashes] reports.
func EncodeCrashes(reports []routing.CrashReport) ([]byte, error) {
	return encodeReports(kindCrashes, MaxCrashes, reports, func(r routing.CrashReport) crashMessage {
		return crashMessage{Content: r.Content, Caller: r.Caller, Replica: r.Replica, Acquits: r.Clears, Age: milliseconds(r.Age)}
	})
}

// IsCrashes reports whether a datagram is meant for [DecodeCrashes].
func IsCrashes(payload []byte) bool { return isReports(payload, kindCrashes) }

// DecodeCrashes is the reverse of [EncodeCrashes].
func DecodeCrashes(payload []byte) ([]routing.CrashReport, error) {
	return decodeReports(payload, kindCrashes, func(m crashMessage) routing.CrashReport {
		return routing.CrashReport{
			Content: m.Content, Caller: m.Caller, Replica: m.Replica, Clears: m.Acquits, Age: time.Duration(m.Age) * time.Millisecond,
		}
	})
}
