// This file encodes what daemons ask each other for retries, and what they lend. A daemon of an
// earlier build drops both, and lends nothing.

package gossip

import (
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// LoanID names a request for a loan; it is the asking daemon's.
type LoanID uint32

// LoanAsk asks for retries at a service.
type LoanAsk struct {
	ID      LoanID
	From    membership.Address // who asks
	Service routing.ServiceName
	Missing routing.Retries
}

// Loan answers one.
type Loan struct {
	ID   LoanID
	Lent routing.Retries
}

// MaxLoans is how many of either fit a datagram.
const MaxLoans = 4

// loanUnit is the part of a retry in which loans are counted.
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

// loanUnits rounds down, so that no more arrives than was lent.
func loanUnits(r routing.Retries) uint16 { return uint16(min(1, max(0, r)) / loanUnit) }

// EncodeLoanAsks encodes up to [MaxLoans] requests for loans. What is missing is rounded up.
func EncodeLoanAsks(asks []LoanAsk) ([]byte, error) {
	return encodeReports(kindLoanAsks, MaxLoans, asks, func(a LoanAsk) loanAskMessage {
		return loanAskMessage{ID: a.ID, From: a.From, Service: a.Service, Missing: min(1/loanUnit, loanUnits(a.Missing)+1)}
	})
}

// IsLoanAsks reports whether a datagram is meant for [DecodeLoanAsks].
func IsLoanAsks(payload []byte) bool { return isReports(payload, kindLoanAsks) }

// DecodeLoanAsks is the reverse of [EncodeLoanAsks].
func DecodeLoanAsks(payload []byte) ([]LoanAsk, error) {
	return decodeReports(payload, kindLoanAsks, func(m loanAskMessage) LoanAsk {
		return LoanAsk{ID: m.ID, From: m.From, Service: m.Service, Missing: routing.Retries(m.Missing) * loanUnit}
	})
}

// EncodeLoans encodes up to [MaxLoans] loans.
func EncodeLoans(loans []Loan) ([]byte, error) {
	return encodeReports(kindLoans, MaxLoans, loans, func(l Loan) loanMessage {
		return loanMessage{ID: l.ID, Lent: loanUnits(l.Lent)}
	})
}

// IsLoans reports whether a datagram is meant for [DecodeLoans].
func IsLoans(payload []byte) bool { return isReports(payload, kindLoans) }

// DecodeLoans is the reverse of [EncodeLoans].
func DecodeLoans(payload []byte) ([]Loan, error) {
	return decodeReports(payload, kindLoans, func(m loanMessage) Loan {
		return Loan{ID: m.ID, Lent: min(1, routing.Retries(m.Lent)*loanUnit)}
	})
}
