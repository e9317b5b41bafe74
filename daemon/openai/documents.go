// This file holds the published documents' texts, so that peers can fetch the
// difference from the content that they have.

package openai

import (
	"sync"

	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/gateway"
)

// documentsKept is how many contents of each kind are held. A peer that is
// further behind gets the whole text.
const documentsKept = 4

type document struct {
	head state.Head
	text []byte
}

// documents is safe for use by many goroutines.
type documents struct {
	mu   sync.Mutex
	kept map[peer.DocumentKind][]document // newest first
}

var _ gateway.Documents = (*documents)(nil)

func newDocuments() *documents {
	return &documents{kept: make(map[peer.DocumentKind][]document)}
}

// put holds a content if it is newer than those that are held.
func (d *documents) put(kind peer.DocumentKind, head state.Head, text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.kept[kind]
	if len(kept) > 0 && head.Compare(kept[0].head) <= 0 {
		return
	}
	kept = append([]document{{head, text}}, kept...)
	d.kept[kind] = kept[:min(len(kept), documentsKept)]
}

// newest returns the newest content; its text is nil if there is none.
func (d *documents) newest(kind peer.DocumentKind) (state.Head, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kept := d.kept[kind]; len(kept) > 0 {
		return kept[0].head, kept[0].text
	}
	return state.Head{}, nil
}

// Document returns the newest content and the text of an older one.
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
