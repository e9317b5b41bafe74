// This file encodes the documents that a daemon sends in response to a peer's request.
// They are compressed, because a daemon that has just started receives all documents.

package gossip

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state/feed"
)

// Documents is the response to a request for the documents that changed.
type Documents struct {
	Items    []feed.Item
	Era      feed.Era      // era of all revisions
	Revision feed.Revision // the sender's current revision
	Whole    bool          // whether Items has all documents, not only changes
}

const (
	// MaxDocumentsBytes limits the size of a peer's response in bytes, both compressed and
	// uncompressed. It is twenty times the 0.7 MB that the documents of 3,000 replicas
	// take. Reading, unpacking and decoding hold up to five times as much, and a daemon has
	// 284 MB.
	MaxDocumentsBytes = 16 << 20
	// compressionWindow is the match window of the compressor. A pooled compressor keeps a window
	// allocated. maxWindow is the largest window that is decompressed, which earlier builds use to
	// compress.
	compressionWindow = 128 << 10
	maxWindow         = 1 << 20
)

// encoders and decoders are pooled: allocating their tables costs more than compressing the few
// documents of a typical response.
var encoders, decoders sync.Pool

func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
}

func newDecoder() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDocumentsBytes), zstd.WithDecoderMaxWindow(maxWindow))
}

type documentsMessage struct {
	_        struct{} `cbor:",toarray"`
	Items    []itemMessage
	Position positionMessage
	Whole    bool
}

type itemMessage struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision feed.Revision
	Gone     bool
}

// EncodeDocuments encodes and compresses documents.
func EncodeDocuments(d *Documents) ([]byte, error) {
	plain, err := encodeDocuments(d)
	if err != nil {
		return nil, err
	}
	w, ok := encoders.Get().(*zstd.Encoder)
	if !ok {
		w, err = newEncoder()
		if err != nil {
			return nil, eris.Wrap(err, "compress documents")
		}
	}
	defer encoders.Put(w)
	return w.EncodeAll(plain, nil), nil
}

func encodeDocuments(d *Documents) ([]byte, error) {
	m := documentsMessage{Position: positionMessage{Era: d.Era, Revision: d.Revision}, Whole: d.Whole}
	m.Items = convert(d.Items, func(it feed.Item) itemMessage {
		return itemMessage{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Deleted}
	})
	return encode(&m)
}

// DecodeDocuments decompresses and decodes documents.
func DecodeDocuments(packed []byte) (Documents, error) {
	r, ok := decoders.Get().(*zstd.Decoder)
	if !ok {
		var err error
		r, err = newDecoder()
		if err != nil {
			return Documents{}, eris.Wrap(err, "unpack documents")
		}
	}
	defer decoders.Put(r)
	plain, err := r.DecodeAll(packed, nil)
	if err != nil {
		return Documents{}, eris.Wrap(err, "unpack documents")
	}
	var m documentsMessage
	if err := decode(plain, &m); err != nil {
		return Documents{}, err
	}
	items := convert(m.Items, func(it itemMessage) feed.Item {
		return feed.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Gone}
	})
	return Documents{Items: items, Era: m.Position.Era, Revision: m.Position.Revision, Whole: m.Whole}, nil
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, eris.Wrap(err, "encode message")
}

func decode(b []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(b, v), "decode message")
}
