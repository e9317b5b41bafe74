// This file reads the data of streams as it arrives. The reader of chunks in net/http fills the buffer that it is given
// as long as it is inside a chunk, and waits for more although it has read some: complete events would wait for the rest
// of a chunk, for as long as the replica stops there.
//
// Inputs: the bytes of the connection that are buffered. The rule:
//
//  1. A read that may wait is for a single byte, so that it waits only while it has none.
//  2. What is buffered before the next CRLF is data of one chunk, or the size of the next one. If it can't be a size, it is
//     read at once; that does not wait, since the chunk does not end before it does.
//  3. Reads by rule 2 go on while there is such data, and the buffer has room.

package relay

import "bytes"

// maxSizeDigits is the maximum number of hexadecimal digits of a chunk's size that net/http accepts.
const maxSizeDigits = 16

var crlf = []byte("\r\n")

// chunkDataLen returns how many of the buffered bytes of a chunked body are certainly data of the current chunk.
func chunkDataLen(buffered []byte) int {
	if end := bytes.Index(buffered, crlf); end >= 0 {
		buffered = buffered[:end]
	}
	buffered = bytes.TrimSuffix(buffered, crlf[:1]) // perhaps half of a CRLF
	if mayBeChunkSize(buffered) {
		return 0
	}
	return len(buffered)
}

// mayBeChunkSize reports whether a text may begin the size of a chunk, with an extension or without.
func mayBeChunkSize(p []byte) bool {
	digits := 0
	for digits < min(len(p), maxSizeDigits+1) && isHexDigit(p[digits]) {
		digits++
	}
	if digits == 0 || digits > maxSizeDigits {
		return false
	}
	return digits == len(p) || p[digits] == ';' || p[digits] == ' ' || p[digits] == '\t'
}

func isHexDigit(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F'
}

// readData reads data of a stream into buf. It waits only until there is some.
func (x *exchange) readData(buf []byte) (int, error) {
	if len(x.response.TransferEncoding) == 0 {
		return x.response.Body.Read(buf)
	}
	n, err := x.response.Body.Read(buf[:max(1, min(x.bufferedData(), len(buf)))])
	for err == nil && n < len(buf) {
		size := min(x.bufferedData(), len(buf)-n)
		if size == 0 {
			break
		}
		var more int
		more, err = x.response.Body.Read(buf[n : n+size])
		n += more
	}
	return n, err
}

// bufferedData returns how many of the buffered bytes are data of the current chunk.
func (x *exchange) bufferedData() int {
	buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered())
	return chunkDataLen(buffered)
}
