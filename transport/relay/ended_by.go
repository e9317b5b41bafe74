// This file decides who ended a caller's connection before the response was complete, for the log.
//
// The inputs are whether the response was written whole, the error of the write to the caller that failed, whether
// the caller's context was done at the end, and whether this daemon is closing its callers' connections. The rule:
//
//  1. A response that was written whole without an error was not ended early, whatever becomes of it on its way.
//  2. While the daemon closes its callers' connections, it ended the response: contexts that are done and writes that
//     fail are the effect of that.
//  3. A write that failed because it took too long was ended by the daemon, which sets the deadline of writes. The
//     context is done then too.
//  4. After any other failed write, and if the context is done, the caller ended it.
//  5. The daemon ended all others.

package relay

import (
	"errors"
	"os"
)

// EndedBy says who ended a caller's connection before the response was complete.
type EndedBy string

// The values of EndedBy.
const (
	EndedComplete EndedBy = "" // the response is complete
	EndedByCaller EndedBy = "caller"
	EndedByDaemon EndedBy = "daemon"
)

// endOf is what is known of the end of a response.
type endOf struct {
	complete   bool
	writeErr   error // of the first write to the caller that failed
	callerGone bool  // the caller's context is done
	closing    bool  // the daemon closes its callers' connections
}

func (e endOf) endedBy() EndedBy {
	switch {
	case e.complete && e.writeErr == nil:
		return EndedComplete
	case e.closing, errors.Is(e.writeErr, os.ErrDeadlineExceeded):
		return EndedByDaemon
	case e.writeErr != nil, e.callerGone:
		return EndedByCaller
	}
	return EndedByDaemon
}
