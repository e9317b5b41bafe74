// This file reads the platform's documents when the control loop requests it.

package openai

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/gateway"
)

// documentReader reads one document of the platform on request. Requests that arrive
// while a call waits at the platform are merged into one.
type documentReader struct {
	kind   peer.DocumentKind
	reader *gateway.PlatformReader
	wake   chan struct{}
	last   state.Head // of the last document that was read
	failed bool
}

func (c *control) addReader(kind peer.DocumentKind, r *gateway.PlatformReader) {
	c.readers[kind] = &documentReader{kind: kind, reader: r, wake: make(chan struct{}, 1)}
}

func (d *documentReader) trigger() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// read runs a reader until ctx ends.
func (c *control) read(ctx context.Context, d *documentReader) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
			c.readOnce(ctx, d)
		}
	}
}

func (c *control) readOnce(ctx context.Context, d *documentReader) {
	asked := time.Now()
	text, err := d.reader.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	if (err != nil) != d.failed {
		d.failed = err != nil
		c.recordPlatformState(d.failed, err)
	}
	switch {
	case err != nil:
		return
	case text == nil && d.kind == peer.DocumentKind_DOCUMENT_KIND_LIST:
		c.post(fleet.ListConfirmed{Head: d.last, Asked: confirmedAt(asked, time.Now())})
		return
	case text == nil:
		return
	}
	d.last = c.receiveDocument(d.kind, state.HeadOf(0, text), text, asked)
}

// confirmedAt returns the time for which an unchanged response confirms the document. The
// platform sends it only when the wait has ended, so the document was current for
// nearly that long. A tenth is subtracted for drift between the clocks. A response
// that came earlier confirms only the time of the request.
func confirmedAt(asked, answered time.Time) time.Time {
	if answered.Sub(asked) < gateway.PlatformWait {
		return asked
	}
	return asked.Add(gateway.PlatformWait * 9 / 10)
}

func (c *control) recordPlatformState(failed bool, err error) {
	if failed {
		c.recorder.Record(coordination.EventPlatform, "platform", "", "platform can't be read; the last documents stay in force: %v", err)
		return
	}
	c.recorder.Record(coordination.EventPlatform, "platform", "", "platform can be read again")
}
