// This file encodes the origins of streams that daemons record with each other, and the questions for
// them. A daemon of an earlier build drops all of these: it holds no records.

package gossip

import (
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// OriginRequestID identifies a question for the origin of a stream. The asking daemon assigns it.
type OriginRequestID uint32

// OriginRequest asks for the origin of a stream.
type OriginRequest struct {
	ID     OriginRequestID
	From   membership.Address // the asking daemon
	Stream routing.StreamKey
}

// OriginReply is the response to an [OriginRequest].
type OriginReply struct {
	ID      OriginRequestID
	Version routing.VersionKey // 0: the origin is not known
}

// MaxOrigins is the number of origins, questions or replies that fit a datagram.
const MaxOrigins = 16

type originMessage struct {
	_       struct{} `cbor:",toarray"`
	Stream  routing.StreamKey
	Version routing.VersionKey
	Left    uint32 // in milliseconds
}

type originRequestMessage struct {
	_      struct{} `cbor:",toarray"`
	ID     OriginRequestID
	From   membership.Address
	Stream routing.StreamKey
}

type originReplyMessage struct {
	_       struct{} `cbor:",toarray"`
	ID      OriginRequestID
	Version routing.VersionKey
}

// EncodeOrigins encodes up to [MaxOrigins] origins.
func EncodeOrigins(origins []routing.StreamOrigin) ([]byte, error) {
	return encodeReports(kindOrigins, MaxOrigins, origins, func(o routing.StreamOrigin) originMessage {
		return originMessage{Stream: o.Stream, Version: o.Version, Left: milliseconds(o.Left)}
	})
}

// IsOrigins reports whether a datagram holds origins.
func IsOrigins(payload []byte) bool { return isReports(payload, kindOrigins) }

// DecodeOrigins decodes a datagram of origins.
func DecodeOrigins(payload []byte) ([]routing.StreamOrigin, error) {
	return decodeReports(payload, kindOrigins, func(m originMessage) routing.StreamOrigin {
		return routing.StreamOrigin{Stream: m.Stream, Version: m.Version, Left: time.Duration(m.Left) * time.Millisecond}
	})
}

// EncodeOriginRequests encodes up to [MaxOrigins] questions.
func EncodeOriginRequests(requests []OriginRequest) ([]byte, error) {
	return encodeReports(kindOriginRequests, MaxOrigins, requests, func(r OriginRequest) originRequestMessage {
		return originRequestMessage{ID: r.ID, From: r.From, Stream: r.Stream}
	})
}

// IsOriginRequests reports whether a datagram holds questions for origins.
func IsOriginRequests(payload []byte) bool { return isReports(payload, kindOriginRequests) }

// DecodeOriginRequests decodes a datagram of questions for origins.
func DecodeOriginRequests(payload []byte) ([]OriginRequest, error) {
	return decodeReports(payload, kindOriginRequests, func(m originRequestMessage) OriginRequest {
		return OriginRequest{ID: m.ID, From: m.From, Stream: m.Stream}
	})
}

// EncodeOriginReplies encodes up to [MaxOrigins] replies.
func EncodeOriginReplies(replies []OriginReply) ([]byte, error) {
	return encodeReports(kindOriginReplies, MaxOrigins, replies, func(r OriginReply) originReplyMessage {
		return originReplyMessage{ID: r.ID, Version: r.Version}
	})
}

// IsOriginReplies reports whether a datagram holds replies to questions for origins.
func IsOriginReplies(payload []byte) bool { return isReports(payload, kindOriginReplies) }

// DecodeOriginReplies decodes a datagram of replies to questions for origins.
func DecodeOriginReplies(payload []byte) ([]OriginReply, error) {
	return decodeReports(payload, kindOriginReplies, func(m originReplyMessage) OriginReply {
		return OriginReply{ID: m.ID, Version: m.Version}
	})
}
