// This file encodes reports of silent replicas. They are datagrams of their own, since
// a heartbeat's fields are fixed: a daemon of an earlier build drops them as no
// heartbeat, and finds silent replicas by its own requests.

package gossip

import (
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/routing"
)

// MaxSilences is how many reports fit a datagram with room to spare.
const MaxSilences = 80

// silencesKind marks the message; other kinds of datagrams may follow.
const silencesKind = 1

// arrayOfTwo is the first byte of an encoded silencesMessage. A heartbeat, which is a
// longer array, begins with another one.
const arrayOfTwo = 0x82

type silencesMessage struct {
	_       struct{} `cbor:",toarray"`
	Kind    int
	Reports []silenceMessage
}

type silenceMessage struct {
	_        struct{} `cbor:",toarray"`
	Replica  routing.LoadKey
	Reporter routing.ReporterID
	Age      uint32 // in milliseconds
}

// EncodeSilences encodes up to [MaxSilences] reports.
func EncodeSilences(reports []routing.SilenceReport) ([]byte, error) {
	if len(reports) > MaxSilences {
		return nil, eris.Errorf("%d reports do not fit a datagram; send %d at most", len(reports), MaxSilences)
	}
	m := silencesMessage{Kind: silencesKind, Reports: convert(reports, func(r routing.SilenceReport) silenceMessage {
		return silenceMessage{Replica: r.Replica, Reporter: r.Reporter, Age: uint32(max(0, r.Age.Milliseconds()))}
	})}
	return encode(&m)
}

// IsSilences reports whether a datagram is meant for [DecodeSilences] and not for
// [DecodeHeartbeat].
func IsSilences(payload []byte) bool { return len(payload) > 0 && payload[0] == arrayOfTwo }

// DecodeSilences is the reverse of [EncodeSilences].
func DecodeSilences(payload []byte) ([]routing.SilenceReport, error) {
	var m silencesMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	if m.Kind != silencesKind {
		return nil, eris.Errorf("message of kind %d is not known", m.Kind)
	}
	return convert(m.Reports, func(r silenceMessage) routing.SilenceReport {
		return routing.SilenceReport{Replica: r.Replica, Reporter: r.Reporter, Age: time.Duration(r.Age) * time.Millisecond}
	}), nil
}
