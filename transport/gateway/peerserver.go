// This file implements the server for other daemons: exchanges, documents, and
// requests whose key this daemon owns.

package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// PeerServer serves other daemons.
type PeerServer struct {
	HandleExchange func(ctx context.Context, n fleet.Gossip) (fleet.Gossip, error)
	Documents      Documents
	Once           *OnceRunner
	Recorder       *transport.Recorder

	packed packedDocuments
}

// packedDocuments caches the last packed document of each kind: when a document
// spreads, all neighbours request the difference from the same version.
type packedDocuments struct {
	mu     sync.Mutex
	cached map[peer.DocumentKind]packedDocument
}

type packedDocument struct {
	head, have state.Head
	resp       *peer.FetchResponse
}

func (p *packedDocuments) get(kind peer.DocumentKind, head, have state.Head) *peer.FetchResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.cached[kind]; d.head == head && d.have == have {
		return d.resp
	}
	return nil
}

func (p *packedDocuments) put(kind peer.DocumentKind, d packedDocument) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cached == nil {
		p.cached = make(map[peer.DocumentKind]packedDocument)
	}
	p.cached[kind] = d
}

var _ peer.Peer = (*PeerServer)(nil)

// Handler returns the HTTP handler of the server.
func (s *PeerServer) Handler() http.Handler {
	return http.MaxBytesHandler(peer.NewPeerServer(s), maxRunBytes)
}

// Exchange processes a peer's message and returns this daemon's.
func (s *PeerServer) Exchange(ctx context.Context, m *peer.News) (*peer.News, error) {
	n := protocol.DecodeGossip(m)
	if n.Sender == "" {
		return nil, twirp.RequiredArgumentError("sender")
	}
	s.Recorder.Observe(n.Stamp)
	answer, err := s.HandleExchange(ctx, n)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	answer.Stamp = s.Recorder.Stamp()
	return protocol.EncodeGossip(answer), nil
}

// Fetch returns the newest document of a kind, as a difference if possible.
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
