// This file carries exchanges, documents and requests between daemons, by
// twirp. It is both the client and the server.

package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// peerTimeout bounds an exchange. A peer that takes longer counts as out of
// reach for a while.
const peerTimeout = 2 * time.Second

// Documents gives the published documents that this daemon holds.
type Documents interface {
	// Document returns the newest document of a kind, and the text of an older
	// one if it is still held; base is nil otherwise.
	Document(kind peer.DocumentKind, have state.Head) (head state.Head, text, base []byte)
}

// Peers is the client towards other daemons.
type Peers struct {
	client   peer.HTTPClient
	once     peer.HTTPClient
	scheme   string
	recorder *transport.Recorder
	metrics  *Metrics

	challenges challengeCache
}

// challengeCache keeps the last challenge of each owner of keys for half its life, so
// that a busy daemon asks for one every few seconds and not for each request.
type challengeCache struct {
	mu   sync.Mutex
	kept map[string]datedChallenge
}

type datedChallenge struct {
	challenge string
	taken     time.Time
}

func (c *challengeCache) get(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.kept[address]
	if time.Since(d.taken) > fleet.ChallengeLife/2 {
		delete(c.kept, address)
		return ""
	}
	return d.challenge
}

func (c *challengeCache) put(address, challenge string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil {
		c.kept = make(map[string]datedChallenge)
	}
	c.kept[address] = datedChallenge{challenge, time.Now()}
}

// NewPeers returns a client. tlsConfig is nil for plain connections; meter
// counts the bytes.
func NewPeers(tlsConfig *tls.Config, meter *Meter, rec *transport.Recorder, m *Metrics, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	opts := UpstreamOptions{TLS: tlsConfig, Dial: meter.Dial(dial)}
	p := &Peers{scheme: "http", recorder: rec, metrics: m}
	if tlsConfig != nil {
		p.scheme = "https"
	}
	exchange := evidenceTransport(opts)
	exchange.IdleConnTimeout = peerIdle
	p.client = &peerClient{exchange}
	p.once = &peerClient{evidenceTransport(UpstreamOptions{TLS: tlsConfig, Dial: dial})}
	return p
}

// peerIdle is how long connections to peers are kept: handshakes are the most
// costly part of the control traffic.
const peerIdle = 10 * time.Minute

// peerClient sends each call once: net/http would repeat a POST on a
// connection that closed before the first byte of an answer only if its body
// could be replayed.
type peerClient struct{ rt http.RoundTripper }

// Do sends one request.
func (c *peerClient) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	// Fields that no daemon reads would be a tenth of the control traffic.
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	req.Header.Set("User-Agent", "")
	return c.rt.RoundTrip(req)
}

func (p *Peers) to(address string, client peer.HTTPClient) peer.Peer {
	return peer.NewPeerProtobufClient(p.scheme+"://"+address, client)
}

// Exchange sends a message to a peer and returns the peer's.
func (p *Peers) Exchange(ctx context.Context, address string, n fleet.Gossip) (fleet.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	p.metrics.Exchanges.Inc(1)
	n.Stamp = p.recorder.Stamp()
	answer, err := p.to(address, p.client).Exchange(ctx, protocol.EncodeGossip(n))
	if err != nil {
		p.metrics.ExchangeFails.Inc(1)
		return fleet.Gossip{}, eris.Wrapf(err, "exchange with %s", address)
	}
	gossip := protocol.DecodeGossip(answer)
	p.recorder.Observe(gossip.Stamp)
	return gossip, nil
}

// Fetch returns a peer's newest document of a kind. have and base are what this
// daemon holds.
func (p *Peers) Fetch(ctx context.Context, address string, kind peer.DocumentKind, have state.Head, base []byte) (state.Head, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := p.to(address, p.client).Fetch(ctx, &peer.FetchRequest{Kind: kind, Have: protocol.EncodeHead(have)})
	if err != nil {
		return state.Head{}, nil, eris.Wrapf(err, "fetch from %s", address)
	}
	if resp.GetBase() != nil && protocol.DecodeHead(resp.GetBase()) != have {
		return state.Head{}, nil, eris.Errorf("fetch from %s: delta is against a content that is not held", address)
	}
	return protocol.UnpackDocument(resp, base)
}

// ForwardOnce sends a request that must not run twice to the owner of its key. Whatever
// goes wrong on the way, the result is may-have-run: even if no byte of this
// attempt was written, an earlier one with the same key may have run, which
// only the owner knows.
func (p *Peers) ForwardOnce(ctx context.Context, owner state.Member, r *OnceRequest) OnceResult {
	m := p.encodeRun(ctx, r)
	m.Challenge = p.challenges.get(owner.Address)
	resp, err := p.to(owner.Address, p.once).Run(ctx, m)
	if err == nil && resp.GetOutcome() == peer.RunOutcome_RUN_OUTCOME_CHALLENGE {
		p.challenges.put(owner.Address, resp.GetChallenge())
		m.Challenge = resp.GetChallenge()
		resp, err = p.to(owner.Address, p.once).Run(ctx, m)
	}
	if err != nil {
		p.recorder.Record(coordination.EventOnce, owner.ID, r.ID, "owner of the key could not be reached: %v", err)
		reason := coordination.ReasonOwnerUnreachable
		if ctx.Err() != nil {
			reason = coordination.ReasonDeadline
		}
		return OnceRefusal{coordination.MayHaveRun{Reason: reason, RetryAfter: defaultRetryTime}}
	}
	p.recorder.Observe(coordination.Stamp{Wall: resp.GetStampWall(), Counter: resp.GetStampCounter()})
	return decodeRunResult(resp)
}

func (p *Peers) encodeRun(ctx context.Context, r *OnceRequest) *peer.RunRequest {
	stamp := p.recorder.Stamp()
	return &peer.RunRequest{
		RequestId: string(r.ID), Workspace: string(r.Workspace), Service: string(r.Service), Key: r.Key,
		Method: r.Method, Target: r.Target, Header: encodeHeader(r.Header), Body: r.Body,
		TimeoutMs: timeLeft(ctx).Milliseconds(), StampWall: stamp.Wall, StampCounter: stamp.Counter,
	}
}

func encodeHeader(h http.Header) []*peer.HeaderField {
	out := make([]*peer.HeaderField, 0, len(h))
	for k, vs := range h {
		out = append(out, &peer.HeaderField{Name: k, Values: vs})
	}
	return out
}

func decodeHeader(fields []*peer.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[http.CanonicalHeaderKey(f.GetName())] = f.GetValues()
	}
	return h
}

func decodeRunResult(m *peer.RunResponse) OnceResult {
	retry := time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	reason := coordination.Reason(m.GetReason())
	switch m.GetOutcome() {
	case peer.RunOutcome_RUN_OUTCOME_ANSWERED:
		answer := &fleet.StoredAnswer{Status: int(m.GetStatus()), Header: decodeHeader(m.GetHeader()), Body: m.GetBody()}
		return OnceAnswer{Answer: answer, Replayed: m.GetReplayed()}
	case peer.RunOutcome_RUN_OUTCOME_NOT_RUN:
		return OnceRefusal{coordination.NotRun{Reason: reason, RetryAfter: retry}}
	case peer.RunOutcome_RUN_OUTCOME_CONFLICT:
		return OnceConflict{errKeyReused}
	case peer.RunOutcome_RUN_OUTCOME_FORGED:
		return OnceConflict{fleet.ErrTicketForged}
	}
	return OnceRefusal{coordination.MayHaveRun{Reason: reason, RetryAfter: retry}}
}

// PeerServer serves other daemons.
type PeerServer struct {
	Converse  func(ctx context.Context, n fleet.Gossip) (fleet.Gossip, error)
	Documents Documents
	Once      *OnceRunner
	Recorder  *transport.Recorder

	packed packedDocuments
}

// packedDocuments keeps the last packed document of each kind: when a document
// spreads, all neighbours ask for the difference from the same content.
type packedDocuments struct {
	mu   sync.Mutex
	kept map[peer.DocumentKind]packedDocument
}

type packedDocument struct {
	head, have state.Head
	resp       *peer.FetchResponse
}

func (p *packedDocuments) get(kind peer.DocumentKind, head, have state.Head) *peer.FetchResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.kept[kind]; d.head == head && d.have == have {
		return d.resp
	}
	return nil
}

func (p *packedDocuments) put(kind peer.DocumentKind, d packedDocument) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept == nil {
		p.kept = make(map[peer.DocumentKind]packedDocument)
	}
	p.kept[kind] = d
}

var _ peer.Peer = (*PeerServer)(nil)

// Handler returns the HTTP handler of the server.
func (s *PeerServer) Handler() http.Handler { return peer.NewPeerServer(s) }

// Exchange takes in a peer's message and returns this daemon's.
func (s *PeerServer) Exchange(ctx context.Context, m *peer.News) (*peer.News, error) {
	n := protocol.DecodeGossip(m)
	if n.Sender == "" {
		return nil, twirp.RequiredArgumentError("sender")
	}
	s.Recorder.Observe(n.Stamp)
	answer, err := s.Converse(ctx, n)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	answer.Stamp = s.Recorder.Stamp()
	return protocol.EncodeGossip(answer), nil
}

// Fetch returns a document.
func (s *PeerServer) Fetch(_ context.Context, m *peer.FetchRequest) (*peer.FetchResponse, error) {
	have := protocol.DecodeHead(m.GetHave())
	head, text, base := s.Documents.Document(m.GetKind(), have)
	if text == nil {
		return nil, twirp.NotFoundError("document is not known here")
	}
	if resp := s.packed.get(m.GetKind(), head, have); resp != nil {
		return resp, nil
	}
	resp, err := protocol.PackDocument(head, text, have, base)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	s.packed.put(m.GetKind(), packedDocument{head, have, resp})
	return resp, nil
}

// Run runs a request that must not be repeated.
func (s *PeerServer) Run(ctx context.Context, m *peer.RunRequest) (*peer.RunResponse, error) {
	s.Recorder.Observe(coordination.Stamp{Wall: m.GetStampWall(), Counter: m.GetStampCounter()})
	timeout := min(time.Duration(m.GetTimeoutMs())*time.Millisecond, maxRunTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := s.Once.RunForPeer(ctx, &OnceRequest{
		ID: state.RequestID(m.GetRequestId()), Workspace: state.WorkspaceID(m.GetWorkspace()),
		Service: state.ServiceID(m.GetService()), Key: m.GetKey(),
		Method: m.GetMethod(), Target: m.GetTarget(), Header: decodeHeader(m.GetHeader()), Body: m.GetBody(),
	}, m.GetChallenge())
	out := encodeRunResult(result)
	stamp := s.Recorder.Stamp()
	out.StampWall, out.StampCounter = stamp.Wall, stamp.Counter
	return out, nil
}

// maxRunTimeout caps what a peer can ask for.
const maxRunTimeout = 10 * time.Minute

func encodeRunResult(r OnceResult) *peer.RunResponse {
	switch r := r.(type) {
	case OnceAnswer:
		return &peer.RunResponse{
			Outcome: peer.RunOutcome_RUN_OUTCOME_ANSWERED, Status: int32(r.Answer.Status),
			Header: encodeHeader(r.Answer.Header), Body: r.Answer.Body, Replayed: r.Replayed,
		}
	case OnceConflict:
		if r.Err == fleet.ErrTicketForged {
			return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_FORGED}
		}
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_CONFLICT}
	case OnceChallenge:
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_CHALLENGE, Challenge: r.Challenge}
	case OnceRefusal:
		return encodeRefusal(r.Outcome)
	}
	return &peer.RunResponse{}
}

func encodeRefusal(o coordination.Outcome) *peer.RunResponse {
	switch o := o.(type) {
	case coordination.NotRun:
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_NOT_RUN, Reason: string(o.Reason), RetryAfterMs: o.RetryAfter.Milliseconds()}
	case coordination.MayHaveRun:
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_MAY_HAVE_RUN, Reason: string(o.Reason), RetryAfterMs: o.RetryAfter.Milliseconds()}
	}
	return &peer.RunResponse{}
}
