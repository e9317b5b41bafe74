// This file implements the communication with other daemons: heartbeats and reports as UDP
// datagrams, documents over HTTP.

package routes

import (
	"context"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/tunnel"
)

const (
	// pathDocuments is the path at which a daemon serves documents to peers.
	pathDocuments = "/news"
	// peerDialTimeout bounds connecting to a peer. Links within a region take milliseconds.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to a peer is kept.
	peerIdleTimeout = 5 * time.Second
	// receiveRetryDelay is the pause after a failed read from the socket.
	receiveRetryDelay = 100 * time.Millisecond
	// maxPeerHeaderBytes is the maximum size of the header of a peer's response, in bytes. It holds the history of
	// versions (headerVersions), some 50 bytes for each version of a service.
	maxPeerHeaderBytes = 256 << 10
	// maxVersionsBytes is the maximum size of an encoded history of versions that is sent. It leaves room for the other
	// fields of the header.
	maxVersionsBytes = maxPeerHeaderBytes - 16<<10
)

// minFetchRate is the lowest rate of a response with documents, in bytes a second. When a whole fleet starts, 50 daemons
// that ask the same one share its link of 20 Mbit/s; each gets three times as much.
const minFetchRate = 16 << 10

// syncTimeouts bound how long a peer may send nothing, and how slowly it may send. A complete response may take longer: the
// documents sent to a daemon that has just started can take seconds on a slow link. A daemon sends one request at a time.
var syncTimeouts = transport.Timeouts{FirstByte: 600 * time.Millisecond, Idle: 400 * time.Millisecond, Grace: time.Second, MinRate: minFetchRate}

// peers holds the socket for datagrams and the HTTP client for fetching documents.
type peers struct {
	socket  *net.UDPConn
	client  *http.Client
	metrics *Metrics
}

func openPeers(address string, m *Metrics) (*peers, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; write listen.peers as IP:PORT", address)
	}
	socket, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; check that the address is this VM's and free", address)
	}
	pool := &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		DialContext:            (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}
	return &peers{socket: socket, client: &http.Client{Transport: pool}, metrics: m}, nil
}

// send sends a datagram. Lost datagrams are compensated for by later ones, so invalid
// addresses and failed writes are not reported. They would be reported for each heartbeat
// to a peer that is gone.
func (p *peers) send(to membership.Address, payload []byte) {
	at, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return
	}
	p.metrics.HeartbeatsSent.Inc(1)
	p.metrics.HeartbeatBytes.Inc(int64(len(payload)))
	_, _ = p.socket.WriteToUDPAddrPort(payload, at)
}

// addressOf returns the address of a peer from which a datagram came.
func addressOf(from netip.AddrPort) membership.Address {
	return membership.Address(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String())
}

// receive passes datagrams to the control loop as events until ctx is canceled. Datagrams
// that can't be decoded are dropped without logging, because anyone could fill the log
// with them.
func (p *peers) receive(ctx context.Context, c *control) {
	buf := make([]byte, gossip.MaxHeartbeatBytes+1)
	var waits membership.SocketWaits
	for ctx.Err() == nil {
		began := clock.Now()
		_ = p.socket.SetReadDeadline(clock.RuntimeTime(began.Add(membership.SocketPoll))) // fails if the socket is closed, as the read does
		n, from, err := p.socket.ReadFromUDPAddrPort(buf)
		now := clock.Now()
		inTime := waits.Read(began, now)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			pause(ctx, receiveRetryDelay)
			continue
		}
		if e, err := decodeDatagram(buf[:n]); err == nil {
			switch r := e.(type) {
			case heartbeatReceived:
				r.at, r.waited = now, !inTime
				e = r
			case crashesReceived:
				r.from = addressOf(from)
				e = r
			case partCrashesReceived:
				r.from = addressOf(from)
				e = r
			}
			p.metrics.HeartbeatsReceived.Inc(1)
			c.post(ctx, e)
		}
	}
}

// decodeDatagram decodes a datagram into an event.
func decodeDatagram(payload []byte) (event, error) {
	switch {
	case gossip.IsSilences(payload):
		reports, err := gossip.DecodeSilences(payload)
		return silencesReceived{reports: reports}, err
	case gossip.IsOverloads(payload):
		reports, err := gossip.DecodeOverloads(payload)
		return overloadsReceived{reports: reports}, err
	case gossip.IsCrashes(payload):
		reports, err := gossip.DecodeCrashes(payload)
		return crashesReceived{reports: reports}, err
	case gossip.IsPartCrashes(payload):
		reports, err := gossip.DecodePartCrashes(payload)
		return partCrashesReceived{reports: reports}, err
	case gossip.IsLiveness(payload):
		reports, err := gossip.DecodeLiveness(payload)
		return livenessReceived{reports: reports}, err
	case gossip.IsDepartures(payload):
		reports, err := gossip.DecodeDepartures(payload)
		return departuresReceived{reports: reports}, err
	case gossip.IsTransferRequests(payload):
		asks, err := gossip.DecodeTransferRequests(payload)
		return transferRequestsReceived{requests: asks}, err
	case gossip.IsTransferGrants(payload):
		loans, err := gossip.DecodeTransferGrants(payload)
		return transfersReceived{transfers: loans}, err
	case gossip.IsPermitRequest(payload):
		request, err := gossip.DecodePermitRequest(payload)
		return permitRequestReceived{request: request}, err
	case gossip.IsPermitReply(payload):
		reply, err := gossip.DecodePermitReply(payload)
		return permitReplyReceived{reply: reply}, err
	case gossip.IsOrigins(payload):
		origins, err := gossip.DecodeOrigins(payload)
		return originsReceived{origins: origins}, err
	case gossip.IsOriginRequests(payload):
		requests, err := gossip.DecodeOriginRequests(payload)
		return originRequestsReceived{requests: requests}, err
	case gossip.IsOriginReplies(payload):
		replies, err := gossip.DecodeOriginReplies(payload)
		return originRepliesReceived{replies: replies}, err
	case gossip.IsBrittle(payload):
		reports, err := gossip.DecodeBrittle(payload)
		return brittleReceived{reports: reports}, err
	case gossip.IsSaturations(payload):
		services, err := gossip.DecodeSaturations(payload)
		return saturationsReceived{services: services}, err
	}
	h, err := gossip.DecodeHeartbeat(payload)
	return heartbeatReceived{heartbeat: h}, err
}

// Query parameters of a request for documents. Builds that don't know the last three ignore them,
// and respond with all documents if they can't determine what changed.
const (
	paramAfter  = "after"  // a revision
	paramDigest = "digest" // set if the requester accepts a digest
	paramParts  = "parts"  // bitmap of the requested parts, in hexadecimal
	paramEra    = "era"    // of the revision; 0 if the store does not name its era
	// statusDigest is the status of a response that is a digest.
	statusDigest = http.StatusPreconditionFailed
	// headerVersions is the field of a response with the peer's history of versions, in base64. Builds that
	// don't know it ignore it.
	headerVersions = "Version-History"
)

// fetch requests documents from a peer.
func (p *peers) fetch(ctx context.Context, from membership.Address, q documentsRequest) (documentsResponse, error) {
	p.metrics.Syncs.Inc(1)
	var answer documentsResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(from)+pathDocuments+"?"+q.encode(), nil)
	if err != nil {
		return answer, eris.Wrap(err, "build request for documents")
	}
	err = transport.Fetch(p.client, req, syncTimeouts, func(resp *http.Response) error {
		isDigest := q.acceptsDigest && resp.StatusCode == statusDigest
		if resp.StatusCode != http.StatusOK && !isDigest {
			return eris.Errorf("status %d", resp.StatusCode)
		}
		payload, err := protocol.ReadBounded(resp.Body, resp.ContentLength, gossip.MaxDocumentsBytes)
		if err != nil {
			return err
		}
		p.metrics.SyncedBytes.Inc(int64(len(payload)))
		if answer, err = decodeResponse(payload, isDigest); err != nil {
			return err
		}
		answer.versions, err = decodeVersions(resp.Header)
		return err
	})
	return answer, eris.Wrap(err, "fetch documents")
}

func decodeResponse(payload []byte, isDigest bool) (documentsResponse, error) {
	if isDigest {
		digest, err := gossip.DecodeDigest(payload)
		return documentsResponse{digest: &digest}, err
	}
	documents, err := gossip.DecodeDocuments(payload)
	return documentsResponse{documents: documents}, err
}

// decodeVersions returns the history of versions in the header of a response, or nil if there is none.
func decodeVersions(h http.Header) (*routing.VersionReport, error) {
	value := h.Get(headerVersions)
	if value == "" {
		return nil, nil
	}
	payload, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return nil, eris.Wrap(err, "decode history of versions")
	}
	return gossip.DecodeVersions(payload)
}

// encode returns the request as a URL query.
func (q *documentsRequest) encode() string {
	v := url.Values{paramAfter: {strconv.FormatUint(uint64(q.after.Revision), 10)}}
	if q.knowsEras {
		v.Set(paramEra, strconv.FormatUint(uint64(q.after.Era), 10))
	}
	if q.acceptsDigest {
		v.Set(paramDigest, "1")
	}
	if q.parts != nil {
		v.Set(paramParts, hex.EncodeToString(gossip.EncodeParts(q.parts)))
	}
	return v.Encode()
}

// decodeRequest parses the URL query of a request.
func decodeRequest(v url.Values) (documentsRequest, error) {
	after, err := strconv.ParseUint(v.Get(paramAfter), 10, 64)
	if err != nil {
		return documentsRequest{}, eris.New("after is not a revision")
	}
	q := documentsRequest{after: feed.Position{Revision: feed.Revision(after)}, acceptsDigest: v.Get(paramDigest) != "", knowsEras: v.Has(paramEra)}
	if q.knowsEras {
		era, err := strconv.ParseUint(v.Get(paramEra), 10, 64)
		if err != nil {
			return documentsRequest{}, eris.New("era is not a number")
		}
		q.after.Era = feed.Era(era)
	}
	if !v.Has(paramParts) {
		return q, nil
	}
	bitmap, err := hex.DecodeString(v.Get(paramParts))
	if err != nil {
		return documentsRequest{}, eris.New("parts are not hexadecimal")
	}
	q.parts, err = gossip.DecodeParts(bitmap)
	return q, err
}

// peersHandler serves documents to peers, and opens connections to replicas for them.
func peersHandler(c *control, carried http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+tunnel.Path, carried)
	mux.HandleFunc("GET "+pathDocuments, func(w http.ResponseWriter, r *http.Request) {
		q, err := decodeRequest(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply := make(chan documentsResponse, 1)
		c.post(r.Context(), documentsRequested{request: q, reply: reply})
		select {
		case answer := <-reply:
			writeResponse(w, &answer)
		case <-r.Context().Done():
		}
	})
	return mux
}

func writeResponse(w http.ResponseWriter, a *documentsResponse) {
	status, payload, err := a.encode()
	if err == nil && a.versions != nil {
		err = addVersions(w.Header(), a.versions)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(payload) // the peer detects a truncated response and requests it again
}

// addVersions adds a history of versions to the header of a response. One that is too large is left out, because the peer
// could not read the response: it then does not know all versions, as with a peer that tells none.
func addVersions(h http.Header, r *routing.VersionReport) error {
	payload, err := gossip.EncodeVersions(r)
	if err != nil {
		return err
	}
	if base64.StdEncoding.EncodedLen(len(payload)) <= maxVersionsBytes {
		h.Set(headerVersions, base64.StdEncoding.EncodeToString(payload))
	}
	return nil
}
