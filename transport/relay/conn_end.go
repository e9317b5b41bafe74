// This file decides how a connection to a replica ended inside a response, for the log and the metrics.
//
// The inputs are the failure of the attempt and whether the replica had sent at least one byte. The rule:
//
//  1. A response that was read whole, or of which nothing arrived, and a failure that says nothing of the connection, such as
//     that of a write to the caller, have no such end.
//  2. If bytes did not arrive in time, or the operating system gave up the connection, it timed out.
//  3. If the operating system reported that it was reset, or that nothing can be written any more, it was reset.
//  4. If it ended in an ordinary way, it was closed, by whomever.

package relay

import (
	"errors"
	"io"
	"os"
	"syscall"

	"hingewinch.org/hingewinch/coordination/routing"
)

// ConnEnd says how a connection to a replica ended inside a response.
type ConnEnd string

// The values of ConnEnd.
const (
	ConnNotEnded ConnEnd = "" // it did not end inside a response
	ConnClosed   ConnEnd = "closed"
	ConnReset    ConnEnd = "reset"
	ConnTimedOut ConnEnd = "timed_out"
)

// connEndOf returns how the connection of an attempt ended. f is nil if the response was forwarded whole.
func connEndOf(f *failure, received bool) ConnEnd {
	if f == nil || !received || f.result != routing.ResultBroken && f.result != routing.ResultSilent {
		return ConnNotEnded
	}
	isAny := func(targets ...error) bool {
		for _, t := range targets {
			if errors.Is(f.err, t) {
				return true
			}
		}
		return false
	}
	switch {
	case isAny(errSilent, os.ErrDeadlineExceeded, syscall.ETIMEDOUT):
		return ConnTimedOut
	case isAny(syscall.ECONNRESET, syscall.EPIPE):
		return ConnReset
	case isAny(io.EOF, io.ErrUnexpectedEOF, errIncompleteEvent, errCarrierGone):
		return ConnClosed
	}
	return ConnNotEnded
}
