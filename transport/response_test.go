package transport_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/transport"
)

// endless repeats a text without end after a beginning, and counts what was read.
type endless struct {
	begin, piece string
	read         int
	piecewise    bool // one byte at a time
}

func (e *endless) Read(p []byte) (int, error) {
	if e.piecewise {
		p = p[:1]
	}
	for i := range p {
		if at := e.read + i; at < len(e.begin) {
			p[i] = e.begin[at]
		} else {
			p[i] = e.piece[(at-len(e.begin))%len(e.piece)]
		}
	}
	e.read += len(p)
	return len(p), nil
}

const responseBuffer = 4 << 10

// TestHeadersWithoutEndAreGivenUp guards against a header that is read until the memory is full.
func TestHeadersWithoutEndAreGivenUp(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name string
		from endless
		want error // nil: any
	}{
		{"a status line", endless{begin: "HTTP/1.1 200 ", piece: "x"}, transport.ErrHeaderTooLarge},
		{"bytes that are no header", endless{piece: "\x00\xff"}, transport.ErrHeaderTooLarge},
		{"one line", endless{begin: status + "Long: ", piece: "x"}, transport.ErrHeaderTooLarge},
		{"short lines", endless{begin: status, piece: "A:\n"}, transport.ErrHeaderTooLarge},
		{"a line that goes on", endless{begin: status + "A: b\r\n", piece: " c\r\n"}, transport.ErrHeaderTooLarge},
		{"short lines, one byte at a time", endless{begin: status, piece: "A:\n", piecewise: true}, transport.ErrHeaderTooLarge},
		{"lines that are no header", endless{piece: strings.Repeat("x", 10000) + "\n"}, nil},
	} {
		_, err := transport.NewResponseReader(&c.from, responseBuffer).ReadResponse(nil)
		if err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if err != nil && len(err.Error()) > 300 {
			t.Errorf("%s: the error quotes %d bytes, which go into the log", c.name, len(err.Error()))
		}
		if c.from.read > transport.MaxHeaderBytes {
			t.Errorf("%s: %d bytes were read, want at most %d", c.name, c.from.read, transport.MaxHeaderBytes)
		}
	}
}

// TestShortHeaderLinesAreFew guards against short lines, which take some twenty times their size once they are parsed.
func TestShortHeaderLinesAreFew(t *testing.T) {
	from := endless{begin: "HTTP/1.1 200 OK\r\n", piece: "A:\n"}
	_, err := transport.NewResponseReader(&from, responseBuffer).ReadResponse(nil)
	if most := 3*1000 + 2*responseBuffer; err == nil || from.read > most {
		t.Errorf("%v after %d bytes, want an error after at most %d", err, from.read, most)
	}
}

// TestLargeHeadersAndBodiesAreRead guards against bounds that a permitted response meets, above all by its body.
func TestLargeHeadersAndBodiesAreRead(t *testing.T) {
	header := func(bytes int) string {
		const around = len("HTTP/1.1 200 OK\r\nLong: \r\nContent-Length: 1000000\r\n\r\n")
		return "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", bytes-around) + "\r\nContent-Length: 1000000\r\n\r\n"
	}
	var lines strings.Builder
	for n := range 900 {
		fmt.Fprintf(&lines, "N%d: x\r\n", n)
	}
	body := strings.Repeat("\n", 1000000)
	for _, c := range []struct{ name, header string }{
		{"small header", header(100)},
		{"header as large as the buffer", header(responseBuffer)},
		{"largest header", header(transport.MaxHeaderBytes)},
		{"900 lines", "HTTP/1.1 200 OK\r\n" + lines.String() + "Content-Length: 1000000\r\n\r\n"},
	} {
		r := transport.NewResponseReader(strings.NewReader(strings.Repeat(c.header+body, 2)), responseBuffer)
		for range 2 {
			resp, err := r.ReadResponse(&http.Request{Method: http.MethodGet})
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
				t.Errorf("%s: body of %d bytes, %v", c.name, len(got), err)
			}
		}
	}
}

// TestBodiesAreBoundedInWhatIsNoData pins what this project relies on net/http for: chunk extensions and trailers
// without end.
func TestBodiesAreBoundedInWhatIsNoData(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name string
		from endless
	}{
		{"a chunk size", endless{begin: chunked, piece: "0"}},
		{"a chunk extension", endless{begin: chunked + "1;", piece: "x"}},
		{"chunk extensions", endless{begin: chunked, piece: "1;" + strings.Repeat("x", 100) + "\r\na\r\n"}},
		{"a trailer", endless{begin: chunked + "0\r\nT: ", piece: "x"}},
		{"trailers", endless{begin: chunked + "0\r\n", piece: "T: x\r\n"}},
	} {
		resp, err := transport.NewResponseReader(&c.from, responseBuffer).ReadResponse(nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
		if err == nil {
			t.Errorf("%s: %d bytes of body without an error", c.name, n)
		}
		if most := 64 << 10; c.from.read > most {
			t.Errorf("%s: %d bytes were read, want at most %d", c.name, c.from.read, most)
		}
	}
}
