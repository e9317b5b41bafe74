// This file holds the texts of the published documents, so that peers can fetch the
// difference from the version that they have.

package openai

import (
	"sync"

	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/gateway"
)

// maxVersionsKept is the number of versions of each kind that are kept. A peer that is
// further behind gets the complete text.
const maxVersionsKept = 4

type document struct {
	head state.Head
	text []byte
}

// documents holds the newest versions of each document. It is safe for concurrent use.
type documents struct {
	mu   sync.Mutex
	kept map[peer.DocumentKind][]document // newest first
}

var _ gateway.Documents = (*documents)(nil)

func newDocuments() *documents {
	return &documents{kept: make(map[peer.DocumentKind][]document)}
}

// put adds a version if it is newer than those that are held.
func (d *documents) put(kind peer.DocumentKind, head state.Head, text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.kept[kind]
	if len(kept) > 0 && head.Compare(kept[0].head) <= 0 {
		return
	}
	kept = append([]document{{head, text}}, kept...)
	d.kept[kind] = kept[:min(len(kept), maxVersionsKept)]
}

// newest returns the newest version; its text is nil if there is none.
func (d *documents) newest(kind peer.DocumentKind) (state.Head, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kept := d.kept[kind]; len(kept) > 0 {
		return kept[0].head, kept[0].text
	}
	return state.Head{}, nil
}

// Document returns the newest version and the text of the version have, if held.
func (d *documents) Document(kind peer.DocumentKind, have state.Head) (head state.Head, text, base []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, doc := range d.kept[kind] {
		if i == 0 {
			head, text = doc.head, doc.text
		}
		if doc.head == have {
			base = doc.text
		}
	}
	return head, text, base
}
