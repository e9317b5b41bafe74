// This file splits a streamed response into server-sent events. Only complete events
// are forwarded, and their ids must increase.

package relay

import (
	"bytes"
	"strconv"
)

// eventReader splits a stream into events and keeps the id of the last one.
type eventReader struct {
	buf      []byte     // the events that add returned last, and then an incomplete event
	returned int        // size of those events in buf
	held     *heldBytes // memory for buf; nil: not bounded
	noMemory bool       // add failed for lack of memory
	read     streamPosition
	// forwarded is where the caller is. Events that were read are not forwarded if another replica goes on.
	forwarded streamPosition
}

// streamPosition is a position in a stream.
type streamPosition struct {
	id    string // of the last event
	seq   int64  // id as a number; -1 if there is none
	count int    // of events
	first int64  // id of the first event of this response that has one; NoEvent if there is none
	// unnumbered says that events with data follow the one that id names, so that a stream can't go on after them elsewhere.
	unnumbered bool
}

const (
	// maxEventBytes is the maximum size of an event, in bytes.
	maxEventBytes = 1 << 20
	// minEventBuffer is the size of the first buffer, in bytes: some events.
	minEventBuffer = 1 << 10
)

func newEventReader(last string) *eventReader {
	at := streamPosition{id: last, seq: -1, first: NoEvent}
	if n, err := strconv.ParseInt(last, 10, 64); err == nil {
		at.seq = n
	}
	return &eventReader{read: at, forwarded: at}
}

// add appends bytes of the stream and returns the events that are complete now.
// The result is valid until the next call of any method. It returns false if an event's id does not
// increase, an event is too large, or there is no memory for it.
func (e *eventReader) add(p []byte) ([]byte, bool) {
	e.dropReturned()
	e.noMemory = false
	// No event ends in what is pending, but its last bytes may be the start of a boundary.
	from := max(0, len(e.buf)-len(boundaryCR)+1)
	if !e.append(p) {
		return nil, false
	}
	end := completeLen(e.buf[from:])
	if end == 0 {
		return nil, len(e.buf) <= maxEventBytes
	}
	e.returned = from + end
	complete := e.buf[:e.returned]
	for at := 0; at < e.returned; {
		next := at + firstEventLen(complete[at:])
		if !e.read.advance(complete[at:next]) {
			return nil, false
		}
		at = next
	}
	return complete, true
}

// advance moves the position past an event. It returns false if the event's id does not increase.
func (p *streamPosition) advance(event []byte) bool {
	p.count++
	seq, id, ok := parseEventID(event)
	if !ok {
		p.unnumbered = p.unnumbered || hasData(event)
		return true
	}
	if seq <= p.seq {
		return false
	}
	p.seq, p.id, p.unnumbered = seq, id, false
	if p.first == NoEvent {
		p.first = seq
	}
	return true
}

// setForwarded records that the events which add returned go to the caller.
func (e *eventReader) setForwarded() { e.forwarded = e.read }

// append appends to the buffer. It returns false if there is no memory.
func (e *eventReader) append(p []byte) bool {
	if size := len(e.buf) + len(p); size > cap(e.buf) {
		var ok bool
		if e.buf, ok = e.held.grow(e.buf, max(minEventBuffer, min(2*cap(e.buf), maxEventBytes+streamReadBytes), size)); !ok {
			e.noMemory = true
			return false
		}
	}
	e.buf = append(e.buf, p...)
	return true
}

// dropReturned removes the events that add returned from the buffer. A large buffer that is empty then is freed.
func (e *eventReader) dropReturned() {
	e.buf = append(e.buf[:0], e.buf[e.returned:]...)
	e.returned = 0
	if len(e.buf) == 0 && cap(e.buf) > uncountedBytes {
		e.free()
	}
}

// pendingLen returns the size of the incomplete event.
func (e *eventReader) pendingLen() int { return len(e.buf) - e.returned }

// takePending removes an incomplete event and returns it. It accepts a nil receiver.
func (e *eventReader) takePending() []byte {
	if e == nil {
		return nil
	}
	e.dropReturned()
	p := e.buf
	e.buf = nil
	return p
}

// restorePending puts back what takePending removed, and forgets the events that were read since and not forwarded. It
// accepts a nil receiver.
func (e *eventReader) restorePending(p []byte) {
	if e != nil {
		e.free()
		e.buf, e.read = p, e.forwarded
	}
}

// free removes everything from the buffer and releases its memory.
func (e *eventReader) free() {
	if e.held != nil {
		e.held.release(cap(e.buf))
	}
	e.buf, e.returned = nil, 0
}

// reset discards an incomplete event, before the stream is resumed at another replica.
func (e *eventReader) reset() {
	e.buf, e.returned, e.read = e.buf[:0], 0, e.forwarded
	e.dropReturned()
}

var (
	boundary   = []byte("\n\n")
	boundaryCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
	dataField  = []byte("data:")
)

// completeLen returns the length of the complete events at the start of p.
func completeLen(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.LastIndex(p, boundaryCR); i >= 0 {
		end = max(end, i+len(boundaryCR))
	}
	return end
}

// firstEventLen returns the length of the first event in p.
func firstEventLen(p []byte) int {
	end := len(p)
	if i := bytes.Index(p, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.Index(p, boundaryCR); i >= 0 {
		end = min(end, i+len(boundaryCR))
	}
	return end
}

// parseEventID returns the id of an event, as text and as a number. It returns false if the
// event has no id or the id is not a number.
func parseEventID(event []byte) (seq int64, id string, ok bool) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(value))
			seq, err := strconv.ParseInt(id, 10, 64)
			return seq, id, err == nil
		}
	}
	return 0, "", false
}

// hasData reports whether an event has data. Without data it is a comment, say, and callers see no event.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}
