// This file splits a streamed response into server-sent events. Only complete events
// are forwarded, and their ids must increase.

package relay

import (
	"bytes"
	"strconv"
)

// eventReader splits a stream into events and keeps the id of the last one.
type eventReader struct {
	pending []byte // an incomplete event at the end of the input
	lastID  string // id of the last event returned
	lastSeq int64  // lastID as a number; -1 if there is none
	count   int    // of events returned
}

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

func newEventReader(last string) *eventReader {
	e := &eventReader{lastID: last, lastSeq: -1}
	if n, err := strconv.ParseInt(last, 10, 64); err == nil {
		e.lastSeq = n
	}
	return e
}

// add appends bytes of the stream and returns the events that are complete now.
// The result is valid until the next call. It returns false if an event's id does not
// increase or an event is too large.
func (e *eventReader) add(p []byte) ([]byte, bool) {
	e.pending = append(e.pending, p...)
	end := completeLen(e.pending)
	if end == 0 {
		return nil, len(e.pending) <= maxEventBytes
	}
	complete := e.pending[:end]
	for at := 0; at < end; {
		next := at + firstEventLen(complete[at:])
		seq, id, ok := parseEventID(complete[at:next])
		if ok {
			if seq <= e.lastSeq {
				return nil, false
			}
			e.lastSeq, e.lastID = seq, id
		}
		e.count++
		at = next
	}
	out := append([]byte(nil), complete...)
	e.pending = append(e.pending[:0], e.pending[end:]...)
	return out, true
}

// takePending removes an incomplete event and returns it. It accepts a nil receiver.
func (e *eventReader) takePending() []byte {
	if e == nil {
		return nil
	}
	p := e.pending
	e.pending = nil
	return p
}

// restorePending puts back what takePending removed. It accepts a nil receiver.
func (e *eventReader) restorePending(p []byte) {
	if e != nil {
		e.pending = p
	}
}

// reset discards an incomplete event, before the stream is resumed at another replica.
func (e *eventReader) reset() { e.pending = e.pending[:0] }

var (
	boundary   = []byte("\n\n")
	boundaryCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
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
