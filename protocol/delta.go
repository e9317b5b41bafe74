// This file packs a document as its difference from another one. A change of a
// few lines in a file of a megabyte then costs a few hundred bytes on the wire.

package protocol

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
)

// MaxDocumentBytes is the largest document that daemons pass on.
const MaxDocumentBytes = 4 << 20

// deltaDictionary is the id that both sides give to the base text.
const deltaDictionary = 1

// errDelta is returned for content that does not unpack to what its head names.
var errDelta = errors.New("document does not unpack to the content its head names; it is fetched whole next time")

// PackDocument returns a document as a delta against base, which may be nil.
func PackDocument(head state.Head, text []byte, baseHead state.Head, base []byte) (*peer.FetchResponse, error) {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(MaxDocumentBytes), zstd.WithEncoderCRC(false)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(deltaDictionary, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	defer enc.Close()
	resp := &peer.FetchResponse{Head: EncodeHead(head), Data: enc.EncodeAll(text, nil), Size: uint64(len(text))}
	if len(base) > 0 {
		resp.Base = EncodeHead(baseHead)
	}
	return resp, nil
}

// UnpackDocument returns the text of a packed document. The text is checked
// against its head, so a wrong or hostile delta is refused.
func UnpackDocument(resp *peer.FetchResponse, base []byte) (state.Head, []byte, error) {
	head := DecodeHead(resp.GetHead())
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDocumentBytes), zstd.WithDecoderMaxWindow(2 * MaxDocumentBytes)}
	if resp.GetBase() != nil {
		opts = append(opts, zstd.WithDecoderDictRaw(deltaDictionary, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return head, nil, fmt.Errorf("unpack document: %w", err)
	}
	defer dec.Close()
	text, err := dec.DecodeAll(resp.GetData(), nil)
	if err != nil {
		return head, nil, fmt.Errorf("%w: %w", errDelta, err)
	}
	if state.HeadOf(head.Version, text) != head {
		return head, nil, errDelta
	}
	return head, text, nil
}
