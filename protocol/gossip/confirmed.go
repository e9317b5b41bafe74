// This file encodes how long ago the documents of a daemon were confirmed, as a CBOR tag around the size of the fleet.

package gossip

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// confirmedUnit is the unit of ages. They add up over the daemons that pass a confirmation on, each time rounded up, so
	// that it is small.
	confirmedUnit = 10 * time.Millisecond
	// maxConfirmed stands for the greatest age that can be told, some ten minutes, and for all greater ones.
	maxConfirmed ConfirmedAge = 0xffff
)

// ConfirmedAge is an age in units of confirmedUnit plus 1. Zero: the age is not told.
type ConfirmedAge uint16

// NewConfirmedAge returns an age, rounded up. ok is false if there was no confirmation, which is told as the greatest age.
func NewConfirmedAge(age time.Duration, ok bool) ConfirmedAge {
	if !ok || age > time.Duration(maxConfirmed-1)*confirmedUnit {
		return maxConfirmed
	}
	return 1 + ConfirmedAge((max(0, age)+confirmedUnit-1)/confirmedUnit)
}

// Age returns the age, or false if it is not told.
func (a ConfirmedAge) Age() (time.Duration, bool) {
	if a == 0 {
		return 0, false
	}
	return time.Duration(a-1) * confirmedUnit, true
}

// sizeMessage is the wire form of the size of a fleet, with the age of the confirmation.
type sizeMessage struct {
	FleetSize int
	Confirmed ConfirmedAge
}

// MarshalCBOR encodes the size. Without an age it has no tag.
func (s sizeMessage) MarshalCBOR() ([]byte, error) {
	return marshalTagged(s.FleetSize, confirmedTag, uint64(s.Confirmed))
}

// UnmarshalCBOR decodes a size. Tags that name no age are ignored.
func (s *sizeMessage) UnmarshalCBOR(payload []byte) error {
	*s = sizeMessage{}
	age, err := unmarshalTagged(payload, &s.FleetSize, confirmedTag, uint64(maxConfirmed))
	s.Confirmed = ConfirmedAge(age)
	return eris.Wrap(err, "decode size of the fleet")
}
