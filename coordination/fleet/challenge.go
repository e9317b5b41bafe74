// This file defines challenges, by which a keeper tells a request that was just
// sent from one that was held up on the way. A network may deliver what a peer
// wrote minutes ago, long after the peer gave up, and no clock of the peer's
// can be trusted to say so; a challenge is made and read by one clock, the
// keeper's own.

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
	challengeLabel = "challenge"
	challengeBytes = 8
)

// Challenge returns a challenge. age is the time since this daemon's start.
func (i *TicketIssuer) Challenge(age time.Duration) string {
	b := binary.BigEndian.AppendUint64(nil, uint64((age + ChallengeLife).Milliseconds()))
	return base64.RawURLEncoding.EncodeToString(append(b, i.mac(challengeLabel, string(b))...))
}

// Fresh reports whether a challenge was made by this daemon life and has not
// expired.
func (i *TicketIssuer) Fresh(challenge string, age time.Duration) bool {
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
