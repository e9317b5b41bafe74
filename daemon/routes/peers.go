// This file talks to other daemons: heartbeats as datagrams, documents over HTTP.

package routes

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

const (
	// pathDocuments is where a daemon answers peers that ask for documents.
	pathDocuments = "/news"
	// peerDialTimeout bounds the connection to a peer: links within a region take milliseconds.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long a connection to a peer is kept for the next request.
	peerIdleTimeout = 5 * time.Second
	// receiveRetry is the pause after a failed read of the socket.
	receiveRetry = 100 * time.Millisecond
)

// syncTimeouts bound a peer's silence. What a daemon that has just started is sent
// may take seconds on a small link.
var syncTimeouts = transport.Timeouts{FirstByte: 600 * time.Millisecond, Idle: 400 * time.Millisecond}

// peers is the daemon's socket for heartbeats and its client for documents.
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
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
	}
	return &peers{socket: socket, client: &http.Client{Transport: pool}, metrics: m}, nil
}

// send sends a datagram. A lost one is made good by the next, so neither an address
// that can't be read nor a failed write is reported: both would be for each
// heartbeat to a peer that is gone.
func (p *peers) send(to membership.Address, payload []byte) {
	at, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return
	}
	p.metrics.HeartbeatsSent.Inc(1)
	p.metrics.HeartbeatBytes.Inc(int64(len(payload)))
	_, _ = p.socket.WriteToUDPAddrPort(payload, at)
}

// receive hands heartbeats to the control loop until the socket is closed. Datagrams
// that are none, from whomever, are dropped without a line: anyone could fill the
// log with them.
func (p *peers) receive(ctx context.Context, c *control) {
	buf := make([]byte, gossip.MaxHeartbeatBytes+1)
	for ctx.Err() == nil {
		n, _, err := p.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			pause(ctx, receiveRetry)
			continue
		}
		if e, err := decodeDatagram(buf[:n]); err == nil {
			p.metrics.HeartbeatsReceived.Inc(1)
			c.post(ctx, e)
		}
	}
}

// decodeDatagram returns the event that a datagram brings.
func decodeDatagram(payload []byte) (event, error) {
	switch {
	case gossip.IsSilences(payload):
		reports, err := gossip.DecodeSilences(payload)
		return silencesReceived{reports: reports}, err
	case gossip.IsCrowds(payload):
		reports, err := gossip.DecodeCrowds(payload)
		return crowdsReceived{reports: reports}, err
	case gossip.IsCrashes(payload):
		reports, err := gossip.DecodeCrashes(payload)
		return crashesReceived{reports: reports}, err
	case gossip.IsLives(payload):
		reports, err := gossip.DecodeLives(payload)
		return livesReceived{reports: reports}, err
	case gossip.IsLeavings(payload):
		reports, err := gossip.DecodeLeavings(payload)
		return leavingsReceived{reports: reports}, err
	case gossip.IsLoanAsks(payload):
		asks, err := gossip.DecodeLoanAsks(payload)
		return loanAsksReceived{asks: asks}, err
	case gossip.IsLoans(payload):
		loans, err := gossip.DecodeLoans(payload)
		return loansReceived{loans: loans}, err
	}
	h, err := gossip.DecodeHeartbeat(payload)
	return heartbeatReceived{heartbeat: h}, err
}

// Parameters of a request for documents. A build that does not know the last three leaves them out
// of account, and answers with everything where it can't say what changed.
const (
	paramAfter  = "after"  // a revision
	paramDigest = "digest" // a digest is taken
	paramParts  = "parts"  // a bit for each part, in hexadecimal
	paramEra    = "era"    // of the revision; 0: the store does not say
	// statusDigest marks an answer that is a digest.
	statusDigest = http.StatusPreconditionFailed
)

// fetch asks a peer for documents.
func (p *peers) fetch(ctx context.Context, from membership.Address, q documentsRequest) (documentsAnswer, error) {
	p.metrics.Syncs.Inc(1)
	var answer documentsAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(from)+pathDocuments+"?"+q.encode(), nil)
	if err != nil {
		return answer, eris.Wrap(err, "build request for documents")
	}
	err = transport.Fetch(p.client, req, syncTimeouts, func(resp *http.Response) error {
		isDigest := q.takesDigest && resp.StatusCode == statusDigest
		if resp.StatusCode != http.StatusOK && !isDigest {
			return eris.Errorf("status %d", resp.StatusCode)
		}
		var b bytes.Buffer
		if _, err := b.ReadFrom(io.LimitReader(resp.Body, gossip.MaxDocumentsBytes)); err != nil {
			return err
		}
		p.metrics.SyncedBytes.Inc(int64(b.Len()))
		answer, err = decodeAnswer(b.Bytes(), isDigest)
		return err
	})
	return answer, eris.Wrap(err, "ask for documents")
}

func decodeAnswer(payload []byte, isDigest bool) (documentsAnswer, error) {
	if isDigest {
		digest, err := gossip.DecodeDigest(payload)
		return documentsAnswer{digest: &digest}, err
	}
	documents, err := gossip.DecodeDocuments(payload)
	return documentsAnswer{documents: documents}, err
}

// encode returns the query of a request.
func (q *documentsRequest) encode() string {
	v := url.Values{paramAfter: {strconv.FormatUint(uint64(q.after.Revision), 10)}}
	if q.knowsEras {
		v.Set(paramEra, strconv.FormatUint(uint64(q.after.Era), 10))
	}
	if q.takesDigest {
		v.Set(paramDigest, "1")
	}
	if q.parts != nil {
		v.Set(paramParts, hex.EncodeToString(gossip.EncodeParts(q.parts)))
	}
	return v.Encode()
}

// decodeRequest is the reverse.
func decodeRequest(v url.Values) (documentsRequest, error) {
	after, err := strconv.ParseUint(v.Get(paramAfter), 10, 64)
	if err != nil {
		return documentsRequest{}, eris.New("after is not a revision")
	}
	q := documentsRequest{after: feed.Position{Revision: feed.Revision(after)}, takesDigest: v.Get(paramDigest) != "", knowsEras: v.Has(paramEra)}
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

// documentsHandler answers peers that ask for documents.
func documentsHandler(c *control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDocuments, func(w http.ResponseWriter, r *http.Request) {
		q, err := decodeRequest(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply := make(chan documentsAnswer, 1)
		c.post(r.Context(), documentsAsked{request: q, reply: reply})
		select {
		case answer := <-reply:
			writeAnswer(w, &answer)
		case <-r.Context().Done():
		}
	})
	return mux
}

func writeAnswer(w http.ResponseWriter, a *documentsAnswer) {
	status, payload, err := a.encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(payload) // the peer finds out, and asks again
}
