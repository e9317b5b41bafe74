// This file implements challenges, with which the owner of a key tells a request that
// was just sent from one that was delayed on the way. The network may deliver a
// peer's message minutes late, long after the peer gave up, and no timestamp from
// the peer's clock can prove otherwise. A challenge is issued and checked by one
// clock, the owner's.

package fleet

import (
	"crypto/hmac"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// ChallengeLifetime is how long a challenge is valid, by its issuer's clock. It bounds
// how late a forwarded request can arrive.
const ChallengeLifetime = 10 * time.Second

const (
	challengeLabel = "challenge" // domain separation; see mac
	challengeBytes = 8           // expiry time in milliseconds
)

// Challenge returns a new challenge. age is the time since this daemon started.
func (i *TicketIssuer) Challenge(age time.Duration) string {
	b := binary.BigEndian.AppendUint64(nil, uint64((age + ChallengeLifetime).Milliseconds()))
	return base64.RawURLEncoding.EncodeToString(append(b, i.mac(challengeLabel, string(b))...))
}

// IsFresh reports whether a challenge was issued by this incarnation and has not
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
