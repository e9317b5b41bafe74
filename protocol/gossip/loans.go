// This file encodes requests for transfers of retry budget between daemons, and the responses that
// grant them. A daemon of an earlier build drops both and grants nothing.

package gossip

import (
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// LoanID identifies a request for a budget transfer. The requesting daemon assigns it.
type LoanID uint32

// LoanAsk requests a transfer of retry budget for a service.
type LoanAsk struct {
	ID      LoanID
	From    membership.Address // the requesting daemon
	Service routing.ServiceName
	Missing routing.Retries
}

// Loan is the response to a [LoanAsk].
type Loan struct {
	ID   LoanID
	Lent routing.Retries
}

// MaxLoans is the number of requests, or of responses, that fit a datagram.
const MaxLoans = 4

// loanUnit is the unit in which budget transfers are encoded, as a fraction of a retry.
const loanUnit = 1.0 / 1000

type loanAskMessage struct {
	_       struct{} `cbor:",toarray"`
	ID      LoanID
	From    membership.Address
	Service routing.ServiceName
	Missing uint16 // in loanUnit
}

type loanMessage struct {
	_    struct{} `cbor:",toarray"`
	ID   LoanID
	Lent uint16 // in loanUnit
}

// loanUnits converts at most one retry to units. It rounds down, so that the receiver never gets
// more than was granted.
func loanUnits(r routing.Retries) uint16 { return uint16(min(1, max(0, r)) / loanUnit) }

// EncodeLoanAsks encodes up to [MaxLoans] requests for transfers. The requested amounts are rounded
// up.
func EncodeLoanAsks(asks []LoanAsk) ([]byte, error) {
	return encodeReports(kindLoanAsks, MaxLoans, asks, func(a LoanAsk) loanAskMessage {
		return loanAskMessage{ID: a.ID, From: a.From, Service: a.Service, Missing: min(1/loanUnit, loanUnits(a.Missing)+1)}
	})
}

// IsLoanAsks reports whether a datagram holds requests for transfers.
func IsLoanAsks(payload []byte) bool { return isReports(payload, kindLoanAsks) }

// DecodeLoanAsks decodes a datagram of requests for transfers.
func DecodeLoanAsks(payload []byte) ([]LoanAsk, error) {
	return decodeReports(payload, kindLoanAsks, func(m loanAskMessage) LoanAsk {
		return LoanAsk{ID: m.ID, From: m.From, Service: m.Service, Missing: routing.Retries(m.Missing) * loanUnit}
	})
}

// EncodeLoans encodes up to [MaxLoans] granted transfers.
func EncodeLoans(loans []Loan) ([]byte, error) {
	return encodeReports(kindLoans, MaxLoans, loans, func(l Loan) loanMessage {
		return loanMessage{ID: l.ID, Lent: loanUnits(l.Lent)}
	})
}

// IsLoans reports whether a datagram holds granted transfers.
func IsLoans(payload []byte) bool { return isReports(payload, kindLoans) }

// DecodeLoans decodes a datagram of granted transfers.
func DecodeLoans(payload []byte) ([]Loan, error) {
	return decodeReports(payload, kindLoans, func(m loanMessage) Loan {
		return Loan{ID: m.ID, Lent: min(1, routing.Retries(m.Lent)*loanUnit)}
	})
}
