// This file lets replicas send a part of their responses, streams too, with neither a length nor chunks. Such a
// response ends with its connection.

package soak

import (
	"net"

	"hingewinch.org/hingewinch/platform/standin"
)

// unframedOneIn is the number of responses of which one is unframed.
const unframedOneIn = 6

// isUnframed reports whether the response ends with its connection. Those to uploads do. The choice does not depend on others that
// are made by the hash of the id alone.
func (x *exchange) isUnframed() bool {
	return x.unframed && (isUpload(x.id) || hashOf("unframed "+x.id)%unframedOneIn == 0)
}

// framed returns a response, or the head of a streamed one, without its length or transfer coding if the
// response is unframed.
func (x *exchange) framed(response string) string {
	if x.isUnframed() {
		return standin.Unframed(response)
	}
	return response
}

// breakOff ends a truncated response. If it is unframed, the connection is reset, since an ordinary end would
// make it whole. It returns false: the connection must be closed.
func (x *exchange) breakOff() bool {
	if x.isUnframed() {
		resetConn(x.conn.(*net.TCPConn))
	}
	return false
}
