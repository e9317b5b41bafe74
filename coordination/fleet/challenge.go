// This file defines challenges, by which the owner of a key distinguishes a request
// that was just sent from one that was held up on the way. A network may deliver
// what a peer wrote minutes ago, long after the peer gave up, and no clock of the
// peer's can show that; a challenge is made and read by one clock, the owner's.

package fleet

import (
	"crypto/hmac"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// ChallengeLife is how long a challenge is good, by the clock of who made it.
// It bounds how late a forwarded request can arrive.
const ChallengeLife = 10 * time.Second

const (
	challengeLabel = "challenge" // what is signed; see mac
	challengeBytes = 8           // its end, in milliseconds
)

// Challenge returns a challenge. age is the time since this daemon's start.
func (i *TicketIssuer) Challenge(age time.Duration) string {
	b := binary.BigEndian.AppendUint64(nil, uint64((age + ChallengeLife).Milliseconds()))
	return base64.RawURLEncoding.EncodeToString(append(b, i.mac(challengeLabel, string(b))...))
}

// IsFresh reports whether a challenge was made by this incarnation and has not
// expired.
func (i *TicketIssuer) IsFresh(challenge string, age time.Duration) bool {
	raw, err := base64.RawURLEncoding.DecodeString(challenge)
	if err != nil || len(raw) != challengeBytes+ticketMACBytes {
		return false
	}
	b, mac := raw[:challengeBytes], raw[challengeBytes:]
	if !hmac.Equal(mac, i.mac(challengeLabel, string(b))) {
		return false
	}
	return age < time.Duration(binary.BigEndian.Uint64(b))*time.Millisecond
}
