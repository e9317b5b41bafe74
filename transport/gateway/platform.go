// This file reads the documents that the platform publishes. To support the transport
// of another platform, change this file; the formats are defined in package protocol.

package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/protocol"
)

// PlatformWait is how long a call waits at the platform for a change (long polling).
const PlatformWait = 4 * time.Second

// Platform is a client of the platform.
type Platform struct {
	base    string
	client  *http.Client
	metrics *Metrics
}

// NewPlatform returns a client of the platform at a base URL.
func NewPlatform(base string, meter *Meter, m *Metrics) *Platform {
	rt := &http.Transport{DialContext: meter.Dial(nil), ResponseHeaderTimeout: 2 * PlatformWait, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Platform{base: base, client: &http.Client{Transport: rt}, metrics: m}
}

// Reader returns the reader of one document.
func (p *Platform) Reader(path string) *PlatformReader { return &PlatformReader{p: p, path: path} }

// PlatformReader reads one document. It is not safe for concurrent use.
type PlatformReader struct {
	p    *Platform
	path string
	etag string
}

// Read waits until the document differs from the one read last, or PlatformWait has
// passed. A nil text without an error means that it did not change.
func (r *PlatformReader) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*PlatformWait)
	defer cancel()
	target := r.p.base + r.path + "?wait_ms=" + strconv.FormatInt(PlatformWait.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build platform request")
	}
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	r.p.metrics.PlatformCalls.Inc(1)
	resp, err := r.p.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("platform responded with status %d to %s", resp.StatusCode, r.path)
	}
	text, err := protocol.ReadBounded(resp.Body, resp.ContentLength, protocol.MaxDocumentBytes)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", r.path)
	}
	r.etag = resp.Header.Get("Etag")
	return text, nil
}
