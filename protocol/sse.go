// This file reads server-sent events. An event is complete only when the blank line
// after it has arrived; a partial event at the end of a broken connection is
// discarded.

package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventBytes is the size of the largest event that is relayed.
const MaxEventBytes = 1 << 20

// eventBufferBytes is the size of a stream's read buffer. Most events are smaller;
// longer lines are assembled from several reads.
const eventBufferBytes = 2 << 10

// ErrEventTooLarge is returned for an event larger than MaxEventBytes.
var ErrEventTooLarge = fmt.Errorf("event is larger than %d bytes", MaxEventBytes)

// StreamEvent is one server-sent event. Its slices are valid until the next
// call of Read.
type StreamEvent struct {
	Seq  uint64 // numeric id, or 0
	Data []byte // data lines joined by newlines
	Raw  []byte // event as forwarded to the caller, without the id
}

// IsEnd reports whether the event is the terminator of a chat stream.
func (e *StreamEvent) IsEnd() bool { return string(e.Data) == StreamEnd }

// EventReader reads events from a stream.
type EventReader struct {
	r    *bufio.Reader
	raw  []byte
	data []byte
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// Read returns the next complete event. It returns io.EOF if the stream ends between
// events, and io.ErrUnexpectedEOF if it ends within one.
func (er *EventReader) Read() (StreamEvent, error) {
	ev := StreamEvent{}
	er.raw, er.data = er.raw[:0], er.data[:0]
	lines, hasData := 0, false
	for {
		line, err := er.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (lines > 0 || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return ev, err
		}
		if len(line) > 0 {
			lines++
			er.field(line, &ev, &hasData)
			continue
		}
		if hasData {
			break
		}
		// Comments and ids without data keep a connection open and are not events.
		lines = 0
		er.raw = er.raw[:0]
	}
	er.raw = append(er.raw, '\n')
	ev.Data, ev.Raw = er.data, er.raw
	return ev, nil
}

// field adds one line to the event. Raw gets neither ids nor comments.
func (er *EventReader) field(line []byte, ev *StreamEvent, hasData *bool) {
	name, value := splitField(line)
	switch name {
	case "id":
		ev.Seq, _ = strconv.ParseUint(string(value), 10, 64) // 0 if the id is not a number
		return
	case "data":
		if *hasData {
			er.data = append(er.data, '\n')
		}
		*hasData = true
		er.data = append(er.data, value...)
	case "":
		return
	}
	er.raw = append(er.raw, line...)
	er.raw = append(er.raw, '\n')
}

// line returns the next line without its line ending.
func (er *EventReader) line() ([]byte, error) {
	line, err := er.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = er.longLine(line)
	}
	if err != nil {
		return line, err
	}
	if len(er.raw)+len(line) > MaxEventBytes {
		return nil, ErrEventTooLarge
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// longLine reads the rest of a line that does not fit the read buffer.
func (er *EventReader) longLine(first []byte) ([]byte, error) {
	line := append([]byte(nil), first...)
	for {
		part, err := er.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxEventBytes {
			return nil, ErrEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// splitField splits a line into field name and value. The name of a comment is
// empty.
func splitField(line []byte) (string, []byte) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return string(line), nil
	}
	return string(name), bytes.TrimPrefix(value, []byte{' '})
}
