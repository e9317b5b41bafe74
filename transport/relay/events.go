// This file splits a streamed response into server-sent events. Only complete events
// are forwarded, and their ids must increase.

package relay

import (
	"bytes"
	"strconv"
)

// eventReader splits a stream into events and keeps the id of the last one.
type eventReader struct {
	rest  []byte // an incomplete event at the end of the input
	last  string // id of the last event returned
	seq   int64  // last as a number; -1 if there is none
	count int    // of events returned
}

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

func newEventReader(last string) *eventReader {
	e := &eventReader{last: last, seq: -1}
	if n, err := strconv.ParseInt(last, 10, 64); err == nil {
		e.seq = n
	}
	return e
}

// take appends bytes of the stream and returns the events that are complete now.
// The result is valid until the next call. It returns false if an event's id does not
// increase or an event is too large.
func (e *eventReader) take(p []byte) ([]byte, bool) {
	e.rest = append(e.rest, p...)
	end := lastBoundary(e.rest)
	if end == 0 {
		return nil, len(e.rest) <= maxEventBytes
	}
	whole := e.rest[:end]
	for at := 0; at < end; {
		next := at + nextBoundary(whole[at:])
		seq, id, ok := eventID(whole[at:next])
		if ok {
			if seq <= e.seq {
				return nil, false
			}
			e.seq, e.last = seq, id
		}
		e.count++
		at = next
	}
	out := append([]byte(nil), whole...)
	e.rest = append(e.rest[:0], e.rest[end:]...)
	return out, true
}

// reset discards an incomplete event, before the stream is resumed at another replica.
func (e *eventReader) reset() { e.rest = e.rest[:0] }

var (
	boundary   = []byte("\n\n")
	boundaryCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
)

// lastBoundary returns the length of the complete events at the start of p.
func lastBoundary(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.LastIndex(p, boundaryCR); i >= 0 {
		end = max(end, i+len(boundaryCR))
	}
	return end
}

// nextBoundary returns the length of the first event in p.
func nextBoundary(p []byte) int {
	end := len(p)
	if i := bytes.Index(p, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.Index(p, boundaryCR); i >= 0 {
		end = min(end, i+len(boundaryCR))
	}
	return end
}

// eventID returns the id of an event, as text and as a number. It returns false if the
// event has no id or the id is not a number.
func eventID(event []byte) (seq int64, id string, ok bool) {
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
