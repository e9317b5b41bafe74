// This file defines the client for engines, services and peers. net/http repeats a
// request by itself if it can replay the body. This client makes the body impossible
// to replay, so that only this project's code decides whether a request is sent again.

package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/transport"
)

// Settings of the connections to upstreams.
const (
	dialTimeout      = 2 * time.Second
	keepAliveProbe   = 15 * time.Second
	idlePerUpstream  = 64
	idleTimeout      = 60 * time.Second
	connBufferBytes  = 2 << 10
	maxHeaderBytes   = 64 << 10
	defaultRetryTime = time.Second
)

// UpstreamOptions are the settings of an Upstreams.
type UpstreamOptions struct {
	// TLS is the TLS configuration for upstreams; nil stands for plain connections.
	TLS *tls.Config
	// AnswerTimeout is the longest wait for the header of a response after the request
	// is written; 0 means no limit apart from the caller's.
	AnswerTimeout time.Duration
	// Dial replaces the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Upstreams sends requests to engines and services.
type Upstreams struct {
	scheme string
	reused *http.Transport
	fresh  *http.Transport
}

// NewUpstreams returns a client.
func NewUpstreams(o UpstreamOptions) *Upstreams {
	u := &Upstreams{scheme: "http", reused: trackedTransport(o), fresh: trackedTransport(o)}
	u.fresh.DisableKeepAlives = true
	if o.TLS != nil {
		u.scheme = "https"
	}
	return u
}

// trackedTransport returns an HTTP/1.1 transport on connections of type trackedConn.
func trackedTransport(o UpstreamOptions) *http.Transport {
	dial := o.Dial
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveProbe}
		dial = d.DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: transport.Share(c)}, nil
		},
		TLSClientConfig:        o.TLS,
		TLSHandshakeTimeout:    dialTimeout,
		ResponseHeaderTimeout:  o.AnswerTimeout,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ForceAttemptHTTP2:      false,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// Close closes idle connections.
func (u *Upstreams) Close() {
	u.reused.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

// UpstreamRequest is one request to one upstream.
type UpstreamRequest struct {
	Method  string
	Address string // host:port
	Target  string // path and query
	Header  http.Header
	Body    []byte
	// Fresh requires a new connection. The upstream may just have closed a reused one;
	// a request written to it is lost, and whether the upstream has read it can't be
	// known.
	Fresh bool
	// Permit is called right before the first byte; it may be nil.
	Permit func() error
}

// Send sends a request once. Either the response is not nil and its body must be read
// and closed, or the outcome says how the attempt ended. The error gives the cause for
// logs.
func (u *Upstreams) Send(ctx context.Context, r UpstreamRequest) (*http.Response, coordination.Outcome, error) {
	target, err := url.Parse(u.scheme + "://" + r.Address + r.Target)
	if err != nil {
		return nil, coordination.NotRun{Reason: coordination.ReasonConnect}, eris.Wrap(err, "build upstream request")
	}
	a := newAttempt(r.Permit)
	req := &http.Request{
		Method:     r.Method,
		URL:        target,
		Host:       r.Address,
		Header:     r.Header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		// Only http.NewRequest sets GetBody; without it the client can't replay the
		// body. A nil body could always be sent again.
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, a.trace()))
	rt := u.reused
	if r.Fresh {
		rt = u.fresh
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return nil, outcomeOfFailure(ctx, a), eris.Wrapf(err, "send to %s", r.Address)
	}
	if err := transport.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}, eris.Wrapf(err, "status %d from %s", resp.StatusCode, r.Address)
	}
	// An open stream must not retain the request's body.
	resp.Request = nil
	if protocol.RefusedByUpstream(resp) {
		retry := retryAfter(resp.Header)
		discard(resp)
		return nil, coordination.NotRun{Reason: coordination.ReasonUpstreamBusy, RetryAfter: retry}, eris.Errorf("%s refused with status %d", r.Address, resp.StatusCode)
	}
	return resp, nil, nil
}

// outcomeOfFailure returns the outcome of an attempt without a response, depending on
// whether bytes were written.
func outcomeOfFailure(ctx context.Context, a *Attempt) coordination.Outcome {
	if a.Seal() {
		reason := coordination.ReasonConnect
		if ctx.Err() != nil {
			reason = coordination.ReasonDeadline
		}
		if a.Denied() != nil {
			reason = coordination.ReasonOwnerListStale
		}
		return coordination.NotRun{Reason: reason, RetryAfter: defaultRetryTime}
	}
	return coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer, RetryAfter: defaultRetryTime}
}

// maxDiscard limits what is read of an unwanted response to make its connection
// reusable.
const maxDiscard = 16 << 10

func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	_ = resp.Body.Close()
}

// maxRetryAfter limits the delay that an upstream can ask of callers.
const maxRetryAfter = 5 * time.Minute

func retryAfter(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(protocol.HeaderRetryAfter) + "s")
	if err != nil || d < 0 {
		return defaultRetryTime
	}
	return min(d, maxRetryAfter)
}
