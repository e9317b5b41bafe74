// This file defines what daemons send each other. The codec is CBOR; news is
// compressed, because a daemon that has just started is told everything.

package routes

import (
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// Beat is the message that a daemon sends its peers several times a second, as
// one datagram. A notice is a short beat that goes out between the others when
// something must be known soon: it says nothing of loads and evidence.
type Beat struct {
	Sender   membership.Member
	Wall     int64 // stamp of the time line
	Counter  uint32
	Members  []membership.Member // some others that the sender believes live
	Revision feed.Revision       // newest document that the sender holds
	Version  routing.Version     // of its configuration
	Fleet    int                 // number of daemons, as the sender knows it
	Notice   bool
	Loads    []routing.Count    // its own requests at replicas
	Holdings []routing.Holding  // prompts that replicas have read for it
	Evidence []routing.Evidence // its own counts at replicas where requests failed
}

// beatMessage is a beat on the wire. Domains are named once, the members refer to
// them by their place, and addresses are numbers: members are most of a beat.
type beatMessage struct {
	_        struct{} `cbor:",toarray"`
	Domains  []state.FailureDomain
	Members  []memberMessage // the first is the sender
	Wall     int64
	Counter  uint32
	Revision feed.Revision
	Version  routing.Version
	Fleet    int
	Notice   bool
	Loads    []routing.Count
	Holdings []routing.Holding
	Evidence []routing.Evidence
}

type memberMessage struct {
	_       struct{} `cbor:",toarray"`
	Address []byte   // IP and port, as netip.AddrPort writes them
	Domain  int      // place in the message's domains
	Life    membership.Life
	Count   uint64
	State   memberState
}

// memberState holds a member's flags.
type memberState uint8

const (
	memberLeaving memberState = 1 << iota
	memberBlind
)

func (m *beatMessage) addMember(of membership.Member) error {
	at, err := netip.ParseAddrPort(string(of.Address))
	if err != nil {
		return eris.Wrapf(err, "encode address of member %s", of.Address)
	}
	address, err := at.MarshalBinary()
	if err != nil {
		return eris.Wrap(err, "encode address of a member")
	}
	domain := slices.Index(m.Domains, of.Domain)
	if domain < 0 {
		domain = len(m.Domains)
		m.Domains = append(m.Domains, of.Domain)
	}
	out := memberMessage{Address: address, Domain: domain, Life: of.Life, Count: of.Count}
	if of.Leaving {
		out.State |= memberLeaving
	}
	if of.Blind {
		out.State |= memberBlind
	}
	m.Members = append(m.Members, out)
	return nil
}

func (m *beatMessage) member(i int) (membership.Member, error) {
	in := &m.Members[i]
	var at netip.AddrPort
	if err := at.UnmarshalBinary(in.Address); err != nil {
		return membership.Member{}, eris.Wrap(err, "decode address of a member")
	}
	if in.Domain < 0 || in.Domain >= len(m.Domains) {
		return membership.Member{}, eris.Errorf("member's domain %d of %d", in.Domain, len(m.Domains))
	}
	return membership.Member{
		Address: membership.Address(at.String()), Domain: m.Domains[in.Domain], Life: in.Life, Count: in.Count,
		Leaving: in.State&memberLeaving != 0, Blind: in.State&memberBlind != 0,
	}, nil
}

// packBeat encodes a beat as it is.
func packBeat(b *Beat) ([]byte, error) {
	m := beatMessage{
		Wall: b.Wall, Counter: b.Counter, Revision: b.Revision, Version: b.Version, Fleet: b.Fleet, Notice: b.Notice,
		Loads: b.Loads, Holdings: b.Holdings, Evidence: b.Evidence,
	}
	for _, of := range append([]membership.Member{b.Sender}, b.Members...) {
		if err := m.addMember(of); err != nil {
			return nil, err
		}
	}
	return encode(&m)
}

// decodeBeat is the reverse of encodeBeat. It takes nothing of a message that is
// not whole.
func decodeBeat(payload []byte) (Beat, error) {
	var m beatMessage
	if err := decode(payload, &m); err != nil {
		return Beat{}, err
	}
	if len(m.Members) == 0 {
		return Beat{}, eris.New("beat without a sender")
	}
	b := Beat{
		Wall: m.Wall, Counter: m.Counter, Revision: m.Revision, Version: m.Version, Fleet: m.Fleet, Notice: m.Notice,
		Loads: m.Loads, Holdings: m.Holdings, Evidence: m.Evidence,
	}
	for i := range m.Members {
		of, err := m.member(i)
		if err != nil {
			return Beat{}, err
		}
		if i == 0 {
			b.Sender = of
			continue
		}
		b.Members = append(b.Members, of)
	}
	return b, nil
}

// News answers a daemon that asks for documents.
type News struct {
	_        struct{} `cbor:",toarray"`
	Items    []feed.Item
	Revision feed.Revision
	Whole    bool // Items is everything, not only what changed
}

// maxBeatBytes is the size of the largest datagram that is sent.
const maxBeatBytes = 1400

// encodeBeat encodes a beat. What does not fit is left out: first half of the
// named members, which other beats name, then the smallest loads, which matter
// least, then evidence.
func encodeBeat(b *Beat) ([]byte, error) {
	slices.SortFunc(b.Loads, func(x, y routing.Count) int { return int(y.Requests) - int(x.Requests) })
	for {
		payload, err := packBeat(b)
		if err != nil || len(payload) <= maxBeatBytes {
			return payload, err
		}
		switch {
		case len(b.Members) > leastNamed:
			b.Members = b.Members[:len(b.Members)/2]
		case len(b.Holdings) > leastHoldings:
			b.Holdings = b.Holdings[:len(b.Holdings)/2]
		case len(b.Loads) > 0:
			b.Loads = b.Loads[:len(b.Loads)*3/4]
		case len(b.Evidence) > 0:
			b.Evidence = b.Evidence[:len(b.Evidence)/2]
		default:
			return nil, eris.Errorf("beat of %d bytes does not fit a datagram of %d", len(payload), maxBeatBytes)
		}
	}
}

// leastNamed and leastHoldings are how many members and holdings a beat names at
// least; maxHoldings is how many it names at most, and maxHoldingsLarge how many in
// a large fleet, where each is handed on by all.
const (
	leastNamed       = 4
	leastHoldings    = 8
	maxHoldings      = 25
	maxHoldingsLarge = 20
)

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, eris.Wrap(err, "encode message")
}

func decode(b []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(b, v), "decode message")
}

// maxNewsBytes bounds what is unpacked of a peer's news.
const maxNewsBytes = 64 << 20

// newsWindow is the window of the compression; it bounds the memory that both
// sides need.
const newsWindow = 1 << 20

// packNews encodes and compresses news.
func packNews(n *News) ([]byte, error) {
	plain, err := encode(n)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(newsWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "pack news")
	}
	defer w.Close()
	return w.EncodeAll(plain, nil), nil
}

// unpackNews is the reverse of packNews.
func unpackNews(packed []byte) (News, error) {
	var n News
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxNewsBytes), zstd.WithDecoderMaxWindow(newsWindow))
	if err != nil {
		return n, eris.Wrap(err, "unpack news")
	}
	defer r.Close()
	plain, err := r.DecodeAll(packed, nil)
	if err != nil {
		return n, eris.Wrap(err, "unpack news")
	}
	return n, decode(plain, &n)
}
