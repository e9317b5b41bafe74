// This file finds the events in a streamed answer. Only whole events are passed
// on; their ids must rise.

package relay

import (
	"bytes"
	"strconv"
)

// eventReader cuts a stream into events and remembers the id of the last.
type eventReader struct {
	rest  []byte // the beginning of an event whose end has not come
	last  string // id of the last event passed on
	seq   int64  // the same as a number; -1 before the first
	count int
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

func newEventReader(last string) *eventReader {
	e := &eventReader{last: last, seq: -1}
	if n, err := strconv.ParseInt(last, 10, 64); err == nil {
		e.seq = n
	}
	return e
}

// take adds bytes of the stream and returns the whole events among them that
// are new. The result is valid until the next call. It returns false if the
// order of the events is broken or one is too large.
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

// reset forgets the beginning of an event that will not be finished.
func (e *eventReader) reset() { e.rest = e.rest[:0] }

var (
	boundary   = []byte("\n\n")
	boundaryCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
)

// lastBoundary returns the length of the part that ends with an event's end.
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

// nextBoundary returns the length of the first event.
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

// eventID finds the id of an event.
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
