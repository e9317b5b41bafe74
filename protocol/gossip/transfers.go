// This file encodes requests for transfers of retry budget between daemons, and the responses that
// grant them. A daemon of an earlier build drops both and grants nothing.

package gossip

import (
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// TransferID identifies a request for a budget transfer. The requesting daemon assigns it.
type TransferID uint32

// TransferRequest requests a transfer of retry budget for a service.
type TransferRequest struct {
	ID        TransferID
	From      membership.Address // the requesting daemon
	Service   routing.ServiceName
	Requested routing.Retries
}

// TransferGrant is the response to a [TransferRequest].
type TransferGrant struct {
	ID      TransferID
	Granted routing.Retries
}

// MaxTransfers is the number of requests, or of responses, that fit a datagram.
const MaxTransfers = 4

// transferUnit is the unit in which budget transfers are encoded, as a fraction of a retry.
const transferUnit = 1.0 / 1000

type transferRequestMessage struct {
	_         struct{} `cbor:",toarray"`
	ID        TransferID
	From      membership.Address
	Service   routing.ServiceName
	Requested uint16 // in transferUnit
}

type transferGrantMessage struct {
	_       struct{} `cbor:",toarray"`
	ID      TransferID
	Granted uint16 // in transferUnit
}

// transferUnits converts at most one retry to units. It rounds down, so that the receiver never gets
// more than was granted.
func transferUnits(r routing.Retries) uint16 { return uint16(min(1, max(0, r)) / transferUnit) }

// EncodeTransferRequests encodes up to [MaxTransfers] requests for transfers. The requested amounts are rounded
// up.
func EncodeTransferRequests(requests []TransferRequest) ([]byte, error) {
	return encodeReports(kindTransferRequests, MaxTransfers, requests, func(r TransferRequest) transferRequestMessage {
		return transferRequestMessage{ID: r.ID, From: r.From, Service: r.Service, Requested: min(1/transferUnit, transferUnits(r.Requested)+1)}
	})
}

// IsTransferRequests reports whether a datagram holds requests for transfers.
func IsTransferRequests(payload []byte) bool { return isReports(payload, kindTransferRequests) }

// DecodeTransferRequests decodes a datagram of requests for transfers.
func DecodeTransferRequests(payload []byte) ([]TransferRequest, error) {
	return decodeReports(payload, kindTransferRequests, func(m transferRequestMessage) TransferRequest {
		return TransferRequest{ID: m.ID, From: m.From, Service: m.Service, Requested: routing.Retries(m.Requested) * transferUnit}
	})
}

// EncodeTransferGrants encodes up to [MaxTransfers] granted transfers.
func EncodeTransferGrants(grants []TransferGrant) ([]byte, error) {
	return encodeReports(kindTransferGrants, MaxTransfers, grants, func(g TransferGrant) transferGrantMessage {
		return transferGrantMessage{ID: g.ID, Granted: transferUnits(g.Granted)}
	})
}

// IsTransferGrants reports whether a datagram holds granted transfers.
func IsTransferGrants(payload []byte) bool { return isReports(payload, kindTransferGrants) }

// DecodeTransferGrants decodes a datagram of granted transfers.
func DecodeTransferGrants(payload []byte) ([]TransferGrant, error) {
	return decodeReports(payload, kindTransferGrants, func(m transferGrantMessage) TransferGrant {
		return TransferGrant{ID: m.ID, Granted: min(1, routing.Retries(m.Granted)*transferUnit)}
	})
}
