// This file defines what daemons send each other. The codec is CBOR.

package router

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/feed"
	"hingewinch.org/hingewinch/membership"
	"hingewinch.org/hingewinch/routing"
)

// Beat is the message that a daemon sends its peers several times a second, as
// one datagram.
type Beat struct {
	_        struct{}            `cbor:",toarray"`
	Sender   membership.Member   //
	Members  []membership.Member // some others that the sender believes live
	Revision feed.Revision       // newest document that the sender holds
	Version  routing.Version     // of its configuration
	Loads    []routing.Count     // its own requests at replicas
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

// maxCounts and maxEvidence bound the figures in one beat, so that it fits.
const (
	maxCounts   = 100
	maxEvidence = 30
)

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, eris.Wrap(err, "encode message")
}

func decode(b []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(b, v), "decode message")
}
