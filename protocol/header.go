// This file defines the header fields in use and removes the hop-by-hop fields,
// which are never forwarded (RFC 9110, section 7.6.1).

package protocol

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields exchanged with callers, engines and services.
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

// OutcomeNotRun is the value of HeaderOutcome with which an upstream states that it
// did not run a request.
const OutcomeNotRun = "not-run"

// connectionFields apply to a single connection. Some are no longer standard but
// are still sent by clients.
var connectionFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateFields are removed from requests before they are forwarded: they are meant
// for the daemon, or only the daemon may set them. Upstreams must not see the
// caller's key, and a caller must not set fields that upstreams trust.
var privateFields = []string{
	"Authorization", "Content-Length", "Expect", HeaderPriority, HeaderRequestID,
	HeaderTimeoutMS, HeaderOutcome, HeaderReason, HeaderDaemon, HeaderUpstream,
}

// ForwardHeader returns the fields of a caller's request that are forwarded to an
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

// ReturnHeader returns the fields of an upstream's response that are forwarded to
// the caller.
func ReturnHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	removeConnectionFields(out)
	out.Del("Content-Length")
	return out
}

// removeConnectionFields removes the standard hop-by-hop fields and those listed in
// the Connection field.
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
