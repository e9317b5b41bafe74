// This file implements the twirp client for other daemons: exchanges, documents, and
// requests whose key another daemon owns.

package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// peerTimeout is the timeout of an exchange. A peer that takes longer is excluded for
// a while.
const peerTimeout = 2 * time.Second

// Documents provides the published documents that this daemon holds.
type Documents interface {
	// Document returns the newest document of a kind, and the text of an older one if
	// it is still held; otherwise base is nil.
	Document(kind peer.DocumentKind, have state.Head) (head state.Head, text, base []byte)
}

// Peers is the client for other daemons.
type Peers struct {
	client   peer.HTTPClient
	once     peer.HTTPClient
	scheme   string
	recorder *transport.Recorder
	metrics  *Metrics

	challenges challengeCache
}

// NewPeers returns a client. A nil tlsConfig stands for plain connections; meter counts
// the bytes of exchanges and fetches.
func NewPeers(tlsConfig *tls.Config, meter *Meter, rec *transport.Recorder, m *Metrics, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	opts := UpstreamOptions{TLS: tlsConfig, Dial: meter.Dial(dial)}
	p := &Peers{scheme: "http", recorder: rec, metrics: m}
	if tlsConfig != nil {
		p.scheme = "https"
	}
	exchange := trackedTransport(opts)
	exchange.IdleConnTimeout = peerIdleTimeout
	p.client = &peerClient{exchange, maxExchangeBytes}
	p.once = &peerClient{trackedTransport(UpstreamOptions{TLS: tlsConfig, Dial: dial}), maxRunBytes}
	return p
}

// The maximum sizes of messages between daemons, in bytes. An exchange carries what changed, and a fetch one document of
// up to 4 MB; a run carries one request or response, of 32 MB by default, and its header.
const (
	maxExchangeBytes = 8 << 20
	maxRunBytes      = 64 << 20
)

// peerIdleTimeout is how long idle connections to peers are kept: handshakes are the most
// expensive part of the control traffic.
const peerIdleTimeout = 10 * time.Minute

// peerClient sends each call once: net/http repeats a POST on a connection that was
// closed before the first byte of a response only if it can replay the body.
type peerClient struct {
	rt       http.RoundTripper
	maxBytes int64 // of a response
}

// Do sends one request.
func (c *peerClient) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	// Fields that no daemon reads would account for a tenth of the control traffic.
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	req.Header.Set("User-Agent", "")
	resp, err := c.rt.RoundTrip(req)
	if err == nil {
		transport.BoundBody(resp, c.maxBytes)
	}
	return resp, err
}

func (p *Peers) clientFor(address string, client peer.HTTPClient) peer.Peer {
	return peer.NewPeerProtobufClient(p.scheme+"://"+address, client)
}

// Exchange sends a message to a peer and returns the peer's message.
func (p *Peers) Exchange(ctx context.Context, address string, n fleet.Gossip) (fleet.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	p.metrics.Exchanges.Inc(1)
	n.Stamp = p.recorder.Stamp()
	answer, err := p.clientFor(address, p.client).Exchange(ctx, protocol.EncodeGossip(n))
	if err != nil {
		p.metrics.ExchangeFails.Inc(1)
		return fleet.Gossip{}, eris.Wrapf(err, "exchange with %s", address)
	}
	gossip := protocol.DecodeGossip(answer)
	p.recorder.Observe(gossip.Stamp)
	return gossip, nil
}

// Fetch returns a peer's newest document of a kind. have and base are the head and the
// text that this daemon holds.
func (p *Peers) Fetch(ctx context.Context, address string, kind peer.DocumentKind, have state.Head, base []byte) (state.Head, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := p.clientFor(address, p.client).Fetch(ctx, &peer.FetchRequest{Kind: kind, Have: protocol.EncodeHead(have)})
	if err != nil {
		return state.Head{}, nil, eris.Wrapf(err, "fetch from %s", address)
	}
	if resp.GetBase() != nil && protocol.DecodeHead(resp.GetBase()) != have {
		return state.Head{}, nil, eris.Errorf("fetch from %s: delta is against a version that is not held", address)
	}
	return protocol.UnpackDocument(resp, base)
}

// ForwardOnce sends a request that must not run twice to the owner of its key. Any
// failure on the way results in MayHaveRun: even if no byte of this attempt was
// written, an earlier attempt with the same key may have run, which only the owner
// knows.
func (p *Peers) ForwardOnce(ctx context.Context, owner state.Member, r *OnceRequest) OnceResult {
	m := p.encodeRun(ctx, r)
	m.Challenge = p.challenges.get(owner.Address)
	resp, err := p.clientFor(owner.Address, p.once).Run(ctx, m)
	if err == nil && resp.GetOutcome() == peer.RunOutcome_RUN_OUTCOME_CHALLENGE {
		p.challenges.put(owner.Address, resp.GetChallenge())
		m.Challenge = resp.GetChallenge()
		resp, err = p.clientFor(owner.Address, p.once).Run(ctx, m)
	}
	if err != nil {
		p.recorder.Record(coordination.EventOnce, owner.ID, r.ID, "owner of the key is unreachable: %v", err)
		reason := coordination.ReasonOwnerUnreachable
		if ctx.Err() != nil {
			reason = coordination.ReasonDeadline
		}
		return OnceRefusal{coordination.MayHaveRun{Reason: reason, RetryAfter: defaultRetryTime}}
	}
	p.recorder.Observe(coordination.Stamp{Wall: resp.GetStampWall(), Counter: resp.GetStampCounter()})
	return decodeRunResult(resp)
}
