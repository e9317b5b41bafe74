// This file encodes how long ago the documents of a daemon were confirmed, as a CBOR tag around the size of the fleet.
//
// A decoder that does not know the tag reads the size without it, as the previous build does, and no field is added to a
// heartbeat.

package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// confirmedTag is the base of the tag numbers: the tag of an age is confirmedTag plus its ConfirmedAge. It lies in the
	// range of tag numbers that are free for any use.
	confirmedTag = 0x48580000
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
	if s.Confirmed == 0 {
		return cbor.Marshal(s.FleetSize)
	}
	return cbor.Marshal(cbor.Tag{Number: confirmedTag + uint64(s.Confirmed), Content: s.FleetSize})
}

// UnmarshalCBOR decodes a size. Tags that name no age are ignored.
func (s *sizeMessage) UnmarshalCBOR(payload []byte) error {
	*s = sizeMessage{}
	if err := cbor.Unmarshal(payload, &s.FleetSize); err != nil {
		return eris.Wrap(err, "decode size of the fleet")
	}
	var tag cbor.RawTag
	if cbor.Unmarshal(payload, &tag) != nil {
		return nil // no tag
	}
	if tag.Number > confirmedTag && tag.Number-confirmedTag <= uint64(maxConfirmed) {
		s.Confirmed = ConfirmedAge(tag.Number - confirmedTag)
	}
	return nil
}
