package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/transport"
)

// errNothingMore is returned by a source whose next read would wait.
var errNothingMore = errors.New("nothing more has arrived")

// arrived is the source of a connection on which only some text has arrived.
type arrived struct{ text string }

// Read implements [io.Reader].
func (a *arrived) Read(p []byte) (int, error) {
	if a.text == "" {
		return 0, errNothingMore
	}
	n := copy(p, a.text)
	a.text = a.text[n:]
	return n, nil
}

// dataOf returns the data in the beginning of a chunked body.
func dataOf(body string) string {
	var data strings.Builder
	for {
		size, rest, ok := strings.Cut(body, "\r\n")
		if !ok {
			return data.String()
		}
		size, _, _ = strings.Cut(size, ";")
		n := 0
		for _, digit := range size {
			n = 16*n + strings.IndexRune("0123456789abcdef", digit)
		}
		if n >= len(rest) {
			return data.String() + rest
		}
		data.WriteString(rest[:n])
		body = rest[min(n+2, len(rest)):]
	}
}

// TestDataThatHasArrivedIsNotHeldBack guards against complete events that wait for the rest of their chunk, or of the next
// one: the reader of chunks waits for more although it has read some.
func TestDataThatHasArrivedIsNotHeldBack(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, body := range []string{
		"10\r\nid: 1\ndata: 12\n\n\r\n10\r\nid: 2\ndata: 34\n\n\r\n0\r\n\r\n",
		"20\r\nid: 1\ndata: 12\n\nid: 2\ndata: 34\n\n\r\n0\r\n\r\n",
		"4\r\nid: \r\n1\r\n1\r\nb\r\n\ndata: 12\n\n\r\n0\r\n\r\n",
		"15\r\nid: 1\r\ndata: 12\r\n\r\nid\r\n4\r\n: 2\n\r\n0\r\n\r\n",
		"10;extension\r\nid: 1\ndata: 12\n\n\r\n10;abc\r\nid: 2\ndata: 34\n\n\r\n0\r\n\r\n",
		"14\r\n0123456789abcdef0123\r\n12\r\nabc;abc;abc abc;01\r\n0\r\n\r\n",
		"1\r\na\r\n1\r\n\n\r\n1\r\n\n\r\n2\r\nbe\r\n3\r\n\r\n\n\r\n2\r\nf;\r\n2\r\n\r\n\r\n0\r\n\r\n",
	} {
		for length := range len(body) + 1 {
			for _, first := range []int{0, 1, length / 2, length} { // of the text, with the header
				checkDataIsRead(t, header, body[:length], first)
			}
		}
	}
}

// checkDataIsRead checks that all data of a part of a body is read before the reader waits for more. The first bytes of it
// arrive with the header.
func checkDataIsRead(t *testing.T, header, part string, first int) {
	t.Helper()
	first = min(first, len(part))
	source := &arrived{text: header + part[:first]}
	x := &exchange{conn: &conn{reader: transport.NewResponseReader(source, 4<<10)}}
	var err error
	if x.response, err = x.conn.reader.ReadResponse(nil); err != nil {
		t.Fatal(err)
	}
	source.text = part[first:]
	data, buf := "", make([]byte, streamReadBytes)
	for err == nil {
		var n int
		if n, err = x.readData(buf); err == nil || errors.Is(err, io.EOF) {
			data += string(buf[:n])
		}
	}
	// The last data is returned with the end of the body, which takes all bytes of that.
	if want := dataOf(part); data != want && !strings.Contains(part, "\r\n0\r\n") {
		t.Errorf("of %q, the first %d with the header: %q was read, want %q, %v", part, first, data, want, err)
	}
}

// TestLongDataIsReadAtOnce guards against data that is read byte by byte, since it may be a size: an event of a megabyte
// would take seconds.
func TestLongDataIsReadAtOnce(t *testing.T) {
	for _, piece := range []string{"a", "a;", "a ", "0123456789abcdef;", "data: x\n"} {
		data, reads := bytes.Repeat([]byte(piece), 500), 0
		for ; len(data) > 0; reads++ {
			data = data[max(1, chunkDataLen(data)):]
		}
		if reads > 2*maxSizeDigits+2 {
			t.Errorf("%q: %d reads", piece, reads)
		}
	}
}
