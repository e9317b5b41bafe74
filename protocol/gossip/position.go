// This file encodes positions: a revision, tagged with its era.
//
// A tag says what a value means, and who does not know it reads the value alone. So the build before,
// which knows no eras, reads revisions as it did, and nothing is added to a message.

package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state/feed"
)

// eraTag is the number of the tag of era 0; that of another era is higher by the era. It lies where
// numbers are free for any use.
const eraTag = 0x48570000

// positionMessage is a position on the wire. In era 0 it is the revision without a tag.
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

// UnmarshalCBOR decodes it. A revision with another tag is taken without its era.
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
