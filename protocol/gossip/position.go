// This file encodes positions: a revision, with its era as a CBOR tag.
//
// A decoder that does not know the tag reads the value without it. The previous build, which has no
// eras, therefore still decodes the revision, and no field is added to a message.

package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state/feed"
)

// eraTag is the base of the tag numbers: the tag of an era is eraTag plus the era. It lies in the range
// of tag numbers that are free for any use.
const eraTag = 0x48570000

// positionMessage is the wire form of a position. In era 0 it is the revision without a tag.
type positionMessage struct {
	Era      feed.Era
	Revision feed.Revision
}

// MarshalCBOR encodes the position.
func (p positionMessage) MarshalCBOR() ([]byte, error) {
	if p.Era == 0 {
		return cbor.Marshal(uint64(p.Revision))
	}
	return cbor.Marshal(cbor.Tag{Number: eraTag + uint64(p.Era), Content: uint64(p.Revision)})
}

// UnmarshalCBOR decodes a position. A revision with a tag that names no era is decoded in era 0.
func (p *positionMessage) UnmarshalCBOR(payload []byte) error {
	var revision uint64
	if err := cbor.Unmarshal(payload, &revision); err != nil {
		return eris.Wrap(err, "decode position")
	}
	*p = positionMessage{Revision: feed.Revision(revision)}
	var tag cbor.RawTag
	if cbor.Unmarshal(payload, &tag) != nil {
		return nil // no tag
	}
	if era := feed.Era(tag.Number - eraTag); tag.Number > eraTag && era <= feed.MaxEra {
		p.Era = era
	}
	return nil
}
