// This file encodes documents as deltas against a base document, so that a change
// to a few lines of a 1 MB file costs a few hundred bytes on the wire.

package protocol

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
)

// MaxDocumentBytes is the size of the largest document that daemons forward.
const MaxDocumentBytes = 4 << 20

// deltaDictionary is the Zstandard dictionary ID of the base text, fixed on both
// sides.
const deltaDictionary = 1

// errDelta is returned if the unpacked text does not match the digest in its head.
var errDelta = errors.New("unpacked document does not match its head; the next fetch requests the complete document")

// PackDocument compresses a document as a delta against base. If base is empty, the
// result stands alone.
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

// UnpackDocument returns the head and text of a packed document. It checks the text
// against the head and rejects a wrong or malicious delta.
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
