// This file encodes numbers with a second value as a CBOR tag around them. A decoder that does not know the tag reads the number
// without it, as the previous build does, so that no field is added to a message.

package gossip

import "github.com/fxamacker/cbor/v2"

// The bases of tag numbers: a tag is its base plus the value. They lie in the range of tag numbers that are free for any use.
const (
	eraTag       = 0x48570000
	confirmedTag = 0x48580000
	knownTag     = 0x48590000
)

// marshalTagged encodes a number with a value, or without a tag if the value is 0.
func marshalTagged(number any, base, value uint64) ([]byte, error) {
	if value == 0 {
		return cbor.Marshal(number)
	}
	return cbor.Marshal(cbor.Tag{Number: base + value, Content: number})
}

// unmarshalTagged decodes a number into one that number points to, and returns the value. It returns 0 if there is no tag, or
// if the tag stands for none of the values up to most.
func unmarshalTagged(payload []byte, number any, base, most uint64) (value uint64, err error) {
	if err := cbor.Unmarshal(payload, number); err != nil {
		return 0, err
	}
	var tag cbor.RawTag
	if cbor.Unmarshal(payload, &tag) != nil || tag.Number <= base || tag.Number-base > most {
		return 0, nil
	}
	return tag.Number - base, nil
}
