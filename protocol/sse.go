// This file reads server-sent events. An event counts only when the blank line
// behind it has arrived: what a broken connection leaves over is no event.

package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventBytes is the largest event that is relayed.
const MaxEventBytes = 1 << 20

// eventBufferBytes is the read buffer of one stream. Events are mostly small;
// a larger one is collected piece by piece.
const eventBufferBytes = 2 << 10

// ErrEventTooLarge is returned for an event larger than MaxEventBytes.
var ErrEventTooLarge = fmt.Errorf("event is larger than %d bytes", MaxEventBytes)

// StreamEvent is one server-sent event. Its slices are valid until the next
// call of Read.
type StreamEvent struct {
	Seq  uint64 // the numeric id, or 0
	Data []byte // the data lines joined by newlines
	Raw  []byte // the event as it goes to the caller, without the id
}

// IsEnd reports whether the event is the terminator of a chat stream.
func (e *StreamEvent) IsEnd() bool { return string(e.Data) == StreamEnd }

// EventReader reads events from a stream.
type EventReader struct {
	r    *bufio.Reader
	raw  []byte
	data []byte
}

// NewEventReader returns a reader of events.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// Read returns the next whole event. It returns io.EOF only between events, and
// io.ErrUnexpectedEOF inside one.
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
		// Comments and lone ids keep a connection open and are no event.
		lines = 0
		er.raw = er.raw[:0]
	}
	er.raw = append(er.raw, '\n')
	ev.Data, ev.Raw = er.data, er.raw
	return ev, nil
}

// field takes in one line of an event.
func (er *EventReader) field(line []byte, ev *StreamEvent, hasData *bool) {
	name, value := splitField(line)
	switch name {
	case "id":
		ev.Seq, _ = strconv.ParseUint(string(value), 10, 64) // 0: the id is no number
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

// line returns the next line without its ending.
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

// splitField splits a line into field name and value. A comment has an empty
// name.
func splitField(line []byte) (string, []byte) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return string(line), nil
	}
	return string(name), bytes.TrimPrefix(value, []byte{' '})
}
