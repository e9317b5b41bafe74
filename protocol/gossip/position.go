// This file encodes positions: a revision, tagged with its era, and with whether the store is known to
// have come back from a copy.
//
// A tag says what a value means, and who does not know it reads the value alone. So the build before,
// which knows no eras, reads revisions as it did, and nothing is added to a message.

package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state/feed"
)

// eraTag is the number of the tag of era 0. Each era has two, the second for a store that is known to have
// come back. They lie where numbers are free for any use.
const eraTag = 0x48570000

// positionMessage is a position on the wire. In era 0 it is the revision without a tag.
type positionMessage struct {
	Era      feed.Era
	Revision feed.Revision
	Restored bool
}

// MarshalCBOR encodes the position.
func (p positionMessage) MarshalCBOR() ([]byte, error) {
	if p.Era == 0 {
		return cbor.Marshal(uint64(p.Revision))
	}
	tag := eraTag + 2*uint64(p.Era)
	if p.Restored {
		tag++
	}
	return cbor.Marshal(cbor.Tag{Number: tag, Content: uint64(p.Revision)})
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
	above := tag.Number - eraTag
	if era := feed.Era(above / 2); tag.Number > eraTag && era > 0 && era <= feed.MostEra {
		p.Era, p.Restored = era, above%2 == 1
	}
	return nil
}
