// This file defines tickets: keys that name the one daemon incarnation that may run
// them. They guarantee at-most-once execution without shared state, member list or
// synchronized clock.

package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Ticket is a key that was issued by one incarnation of a daemon.
type Ticket struct {
	Daemon      state.DaemonID
	Incarnation state.Incarnation
	Expires     time.Duration // since the issuer's start, by the issuer's clock
	Nonce       string
	mac         string
}

const (
	ticketPrefix   = "hwt1."
	ticketFields   = 4 // daemon, incarnation, expiry, nonce
	ticketSep      = "|"
	ticketMACBytes = 16 // HMAC-SHA-256, truncated to 128 bits
)

// Errors of ticket parsing and verification.
var (
	errTicketMalformed = errors.New("ticket is malformed; send it exactly as it was issued")
	ErrTicketForged    = errors.New("ticket was not issued for this workspace and service; take a new one")
)

// IsTicket reports whether a caller's key claims to be a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// ParseTicket decodes a ticket without verifying it: any daemon can read to which
// daemon it belongs, and only the issuer can verify it.
func ParseTicket(key string) (Ticket, error) {
	body, mac, ok := strings.Cut(strings.TrimPrefix(key, ticketPrefix), ".")
	if !ok || !IsTicket(key) {
		return Ticket{}, errTicketMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Ticket{}, errTicketMalformed
	}
	parts := strings.Split(string(raw), ticketSep)
	if len(parts) != ticketFields || parts[0] == "" {
		return Ticket{}, errTicketMalformed
	}
	inc, err1 := strconv.ParseUint(parts[1], 10, 64)
	ms, err2 := strconv.ParseInt(parts[2], 10, 64)
	if err1 != nil || err2 != nil || ms < 0 || ms > int64(maxExpires/time.Millisecond) {
		return Ticket{}, errTicketMalformed
	}
	t := Ticket{
		Daemon:      state.DaemonID(parts[0]),
		Incarnation: state.Incarnation(inc),
		Expires:     time.Duration(ms) * time.Millisecond,
		Nonce:       parts[3],
		mac:         mac,
	}
	return t, nil
}

// maxExpires prevents overflow in the arithmetic on a ticket's age.
const maxExpires = 100 * 365 * 24 * time.Hour

func (t Ticket) payload() string {
	return strings.Join([]string{
		string(t.Daemon),
		strconv.FormatUint(uint64(t.Incarnation), 10),
		strconv.FormatInt(t.Expires.Milliseconds(), 10),
		t.Nonce,
	}, ticketSep)
}

// TicketIssuer issues and verifies the tickets of one incarnation. The secret is
// generated at start and never leaves the process, so a ticket of an earlier process
// is rejected even if both processes have the same incarnation number. A TicketIssuer
// is immutable and safe for concurrent use.
type TicketIssuer struct {
	daemon      state.DaemonID
	incarnation state.Incarnation
	secret      []byte
}

// NewTicketIssuer returns the issuer of an incarnation. secret must be fresh
// random bytes.
func NewTicketIssuer(d state.DaemonID, inc state.Incarnation, secret []byte) *TicketIssuer {
	return &TicketIssuer{daemon: d, incarnation: inc, secret: secret}
}

// Issue returns a new ticket. expires is its expiry as the time since this daemon's
// start; the ticket carries it, so that a later change of the settings can't make a
// ticket outlive its entry in the ledger.
func (i *TicketIssuer) Issue(w state.WorkspaceID, s state.ServiceID, expires time.Duration, nonce string) string {
	t := Ticket{Daemon: i.daemon, Incarnation: i.incarnation, Expires: expires, Nonce: nonce}
	body := base64.RawURLEncoding.EncodeToString([]byte(t.payload()))
	return ticketPrefix + body + "." + i.sign(t, w, s)
}

func (i *TicketIssuer) sign(t Ticket, w state.WorkspaceID, s state.ServiceID) string {
	return base64.RawURLEncoding.EncodeToString(i.mac(ticketPrefix, string(w), string(s), t.payload()))
}

// mac authenticates fields, each prefixed with its length. The first field names the
// purpose, so that a MAC made for one purpose is not valid for another.
func (i *TicketIssuer) mac(fields ...string) []byte {
	m := hmac.New(sha256.New, i.secret)
	for _, field := range fields {
		m.Write([]byte(strconv.Itoa(len(field))))
		m.Write([]byte(ticketSep + field))
	}
	return m.Sum(nil)[:ticketMACBytes]
}

// Admit decides whether this incarnation may look the ticket up in its ledger. age is
// the time since the daemon's start. A nil outcome with a nil error means yes; left
// is then the least time for which the ledger must remember the ticket. An expired
// ticket is always refused, because its entry may have been forgotten.
func (i *TicketIssuer) Admit(t Ticket, w state.WorkspaceID, s state.ServiceID, age time.Duration) (left time.Duration, refusal coordination.Outcome, err error) {
	if t.Daemon != i.daemon || t.Incarnation != i.incarnation {
		return 0, coordination.MayHaveRun{Reason: coordination.ReasonTicketIssuerGone, RetryAfter: unknownOutcomeRetry}, nil
	}
	if !hmac.Equal([]byte(t.mac), []byte(i.sign(t, w, s))) {
		return 0, nil, ErrTicketForged
	}
	if age >= t.Expires {
		return 0, coordination.MayHaveRun{Reason: coordination.ReasonTicketExpired, RetryAfter: unknownOutcomeRetry}, nil
	}
	return t.Expires - age, nil, nil
}
