// This file names the header fields that are used, and those that belong to one
// connection and are never passed on (RFC 9110, section 7.6.1).

package protocol

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields towards callers, engines and services.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "X-Outcome"
	HeaderReason         = "X-Outcome-Reason"
	HeaderRetryAfter     = "Retry-After"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotency-Replayed"
	HeaderChatID         = "X-Chat-Id"
	HeaderUpstream       = "X-Upstream"
	HeaderDaemon         = "X-Daemon"
	HeaderPriority       = "X-Priority"
	HeaderStreamID       = "X-Stream-Id"
	HeaderTimeoutMS      = "X-Timeout-Ms"
)

// OutcomeNotRun is the value of HeaderOutcome by which an upstream itself says
// that it did not run a request.
const OutcomeNotRun = "not-run"

// connectionFields belong to one connection. Some are no longer standard and
// are still sent.
var connectionFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateFields are between the caller and the daemon, or the daemon's own to
// write: a caller must not pass a key on or set what upstreams take from us.
var privateFields = []string{
	"Authorization", "Content-Length", "Expect", HeaderPriority, HeaderRequestID,
	HeaderTimeoutMS, HeaderOutcome, HeaderReason, HeaderDaemon, HeaderUpstream,
}

// ForwardHeader returns the fields of a caller's request that go to an
// upstream.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	removeConnectionFields(out)
	for _, name := range privateFields {
		out.Del(name)
	}
	return out
}

// ReturnHeader returns the fields of an upstream's answer that go to a caller.
func ReturnHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	removeConnectionFields(out)
	out.Del("Content-Length")
	return out
}

// removeConnectionFields removes the standard fields and those that the
// Connection field names.
func removeConnectionFields(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionFields {
		h.Del(name)
	}
}
