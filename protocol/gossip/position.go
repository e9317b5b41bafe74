// This file encodes positions: a revision, with its era as a CBOR tag.
//
// A decoder that does not know the tag reads the value without it. The previous build, which has no
// eras, therefore still decodes the revision, and no field is added to a message.

package gossip

import (
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state/feed"
)

// positionMessage is the wire form of a position. In era 0 it is the revision without a tag.
type positionMessage struct {
	Era      feed.Era
	Revision feed.Revision
}

// MarshalCBOR encodes the position.
func (p positionMessage) MarshalCBOR() ([]byte, error) {
	return marshalTagged(uint64(p.Revision), eraTag, uint64(p.Era))
}

// UnmarshalCBOR decodes a position. A revision with a tag that names no era is decoded in era 0.
func (p *positionMessage) UnmarshalCBOR(payload []byte) error {
	var revision uint64
	era, err := unmarshalTagged(payload, &revision, eraTag, uint64(feed.MaxEra))
	if err != nil {
		return eris.Wrap(err, "decode position")
	}
	*p = positionMessage{Era: feed.Era(era), Revision: feed.Revision(revision)}
	return nil
}
