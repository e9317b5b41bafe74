// This file bounds the bodies of responses that are decoded while they are read, and the
// buffers of bodies that are held as a whole and counted. Where they are not counted,
// protocol.ReadBounded does.

package transport

import (
	"errors"
	"io"
	"net/http"
)

// ErrBodyTooLarge is returned for a body that exceeds the bound of [BoundBody].
var ErrBodyTooLarge = errors.New("body of a response is too large")

// BoundBody makes reading a response's body fail with [ErrBodyTooLarge] once it has
// returned limit bytes and there are more.
func BoundBody(resp *http.Response, limit int64) {
	if resp.ContentLength > limit {
		limit = -1
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: limit}
}

// boundedBody is a body that may return a number of bytes; -1: it has more.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements [io.Reader].
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrBodyTooLarge
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, err = int(b.left), ErrBodyTooLarge
		b.left = -1
		return n, err
	}
	b.left -= int64(n)
	return n, err
}

// NextBufferBytes returns the size of the buffer after one that is full, up to the largest,
// in bytes. The old one is garbage then; growing fourfold leaves less of it than doubling.
func NextBufferBytes(size, largest int) int {
	if next := 4 * size; next < largest/2 {
		return next
	}
	return largest
}
