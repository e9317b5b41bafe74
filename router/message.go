// This file defines what daemons send each other. The codec is CBOR; news is
// compressed, because a daemon that has just started is told everything.

package router

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/feed"
	"hingewinch.org/hingewinch/membership"
	"hingewinch.org/hingewinch/routing"
)

// Beat is the message that a daemon sends its peers several times a second, as
// one datagram.
type Beat struct {
	_        struct{}          `cbor:",toarray"`
	Sender   membership.Member //
	Wall     int64             // stamp of the time line
	Counter  uint32
	Members  []membership.Member // some others that the sender believes live
	Revision feed.Revision       // newest document that the sender holds
	Version  routing.Version     // of its configuration
	Loads    []routing.Count     // its own requests at replicas
	Holdings []routing.Holding   // prompts that replicas have read for it
	Evidence []routing.Evidence  // its own counts at replicas where requests failed
}

// News answers a daemon that asks for documents.
type News struct {
	_        struct{} `cbor:",toarray"`
	Items    []feed.Item
	Revision feed.Revision
	Whole    bool // Items is everything, not only what changed
}

// maxBeatBytes is the size of the largest datagram that is sent.
const maxBeatBytes = 1400

// encodeBeat encodes a beat. What does not fit is left out: first half of the
// named members, which other beats name, then the smallest loads, which matter
// least, then evidence.
func encodeBeat(b *Beat) ([]byte, error) {
	slices.SortFunc(b.Loads, func(x, y routing.Count) int { return int(y.Requests) - int(x.Requests) })
	for {
		payload, err := encode(b)
		if err != nil || len(payload) <= maxBeatBytes {
			return payload, err
		}
		switch {
		case len(b.Members) > leastNamed:
			b.Members = b.Members[:len(b.Members)/2]
		case len(b.Holdings) > leastHoldings:
			b.Holdings = b.Holdings[:len(b.Holdings)/2]
		case len(b.Loads) > 0:
			b.Loads = b.Loads[:len(b.Loads)*3/4]
		case len(b.Evidence) > 0:
			b.Evidence = b.Evidence[:len(b.Evidence)/2]
		default:
			return nil, eris.Errorf("beat of %d bytes does not fit a datagram of %d", len(payload), maxBeatBytes)
		}
	}
}

// leastNamed and leastHoldings are how many members and holdings a beat names at
// least; maxHoldings is how many it names at most.
const (
	leastNamed    = 4
	leastHoldings = 8
	maxHoldings   = 25
)

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, eris.Wrap(err, "encode message")
}

func decode(b []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(b, v), "decode message")
}

// maxNewsBytes bounds what is unpacked of a peer's news.
const maxNewsBytes = 64 << 20

// newsWindow is the window of the compression; it bounds the memory that both
// sides need.
const newsWindow = 1 << 20

// packNews encodes and compresses news.
func packNews(n *News) ([]byte, error) {
	plain, err := encode(n)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(newsWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "pack news")
	}
	defer w.Close()
	return w.EncodeAll(plain, nil), nil
}

// unpackNews is the reverse of packNews.
func unpackNews(packed []byte) (News, error) {
	var n News
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxNewsBytes), zstd.WithDecoderMaxWindow(newsWindow))
	if err != nil {
		return n, eris.Wrap(err, "unpack news")
	}
	defer r.Close()
	plain, err := r.DecodeAll(packed, nil)
	if err != nil {
		return n, eris.Wrap(err, "unpack news")
	}
	return n, decode(plain, &n)
}
