// This file reads responses from connections that this project manages itself.
// http.ReadResponse reads a header without bound; http.Transport has a bound of its own
// for the connections that it manages.

package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// MaxHeaderBytes is the maximum size of the header of another process's response,
	// in bytes. Requests have the same limit.
	MaxHeaderBytes = 64 << 10
	// maxHeaderLines is the maximum number of lines of a header: a short line takes
	// twenty times its size in memory once it is parsed. Lines that arrive together
	// with the end of the header are not counted.
	maxHeaderLines = 1000
	// maxErrorBytes is the maximum size of an error's text, in bytes. http.ReadResponse
	// quotes the line that it does not understand, and errors are logged.
	maxErrorBytes = 200
)

// ErrHeaderTooLarge is returned for a response whose header exceeds the limits.
var ErrHeaderTooLarge = fmt.Errorf("header of a response is larger than %d bytes or %d lines", MaxHeaderBytes, maxHeaderLines)

// ErrBadStatus is returned for a response that is none by its status.
var ErrBadStatus = errors.New("status of a response is below 100, or switches the protocol unasked")

// CheckStatus returns [ErrBadStatus] for a status that no response to a usual request has: one below 100, which
// http.ReadResponse accepts, or 101, after which nothing that follows is HTTP. Those above 599 are no
// standard ones either, but callers understand them as errors.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return ErrBadStatus
	}
	return nil
}

// ResponseReader is a buffered reader of a connection that bounds the headers of
// responses. All reads from the connection must go through it.
type ResponseReader struct {
	*bufio.Reader
	source headerBound
}

// NewResponseReader returns a reader of a connection with a buffer of the given size.
func NewResponseReader(c io.Reader, size int) *ResponseReader {
	r := &ResponseReader{source: headerBound{r: c}}
	r.Reader = bufio.NewReaderSize(&r.source, size)
	return r
}

// SetSource makes the reader read from another source than before, in order to bound
// the waits for bytes of the connection. Bytes that are buffered remain.
func (r *ResponseReader) SetSource(source io.Reader) { r.source.r = source }

// ReadResponse reads the header of a response. The body is read from the same
// connection, without a bound. A header that exceeds the limits is an
// [ErrHeaderTooLarge]; the connection must then be closed.
func (r *ResponseReader) ReadResponse(req *http.Request) (*http.Response, error) {
	r.source.begin(r.Reader)
	resp, err := http.ReadResponse(r.Reader, req)
	r.source.inHeader = false
	if err != nil {
		return nil, shorten(err)
	}
	return resp, nil
}

// headerBound is the source of a buffered reader. While a header is read, it fails once
// the limits are reached. A header that is in the buffer as a whole costs nothing.
type headerBound struct {
	r        io.Reader
	inHeader bool // else nothing is bounded
	bytes    int  // that may still be read
	lines    int  // that may still be read, without those of the last read
	last     int  // line ends in the last read
}

// begin starts a header, of which the buffer may hold a part.
func (h *headerBound) begin(buffered *bufio.Reader) {
	held, _ := buffered.Peek(buffered.Buffered())
	h.inHeader, h.bytes, h.lines, h.last = true, MaxHeaderBytes-len(held), maxHeaderLines, countLines(held)
}

// Read implements [io.Reader]. Lines count only once the header needs another read: then the last one brought
// nothing of the body.
func (h *headerBound) Read(p []byte) (int, error) {
	if !h.inHeader {
		return h.r.Read(p)
	}
	h.lines -= h.last
	if h.bytes <= 0 || h.lines < 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.bytes)])
	h.bytes -= n
	h.last = countLines(p[:n])
	return n, err
}

func countLines(p []byte) int { return bytes.Count(p, []byte{'\n'}) }

// shorten bounds the text of an error. Only the errors by which http.ReadResponse quotes a line are that long, and
// nothing but their text matters.
func shorten(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(strings.Clone(text[:maxErrorBytes]) + "...")
}
