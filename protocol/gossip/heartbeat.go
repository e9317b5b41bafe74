// This file encodes heartbeats.

package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// Heartbeat is the message that a daemon sends to other daemons several times a second.
type Heartbeat struct {
	Sender    membership.Member
	Stamp     coordination.Stamp    // hybrid logical time of the sender
	Members   []membership.Member   // some of the other daemons that the sender assumes alive
	Era       feed.Era              // store era to which Revision belongs
	Revision  feed.Revision         // newest revision that the sender holds
	Version   routing.ConfigVersion // version of the sender's configuration
	FleetSize int                   // number of daemons known to the sender
	// Confirmed tells how long ago the sender's documents were confirmed by a read of the store; zero: the sender's build
	// does not tell.
	Confirmed ConfirmedAge
	// Partial marks a short heartbeat, sent between two regular ones for urgent changes. It
	// has no loads and no evidence; the receiver keeps those of the last regular one.
	Partial   bool
	Loads     []routing.LoadCount     // the sender's own requests at replicas
	Locations []routing.CacheLocation // prompts that replicas have cached for the sender
	Evidence  []routing.Evidence      // the sender's own counts for replicas with failed requests
}

// MaxHeartbeatBytes is the size of the largest datagram that is sent. It fits an
// Ethernet frame together with the headers.
const MaxHeartbeatBytes = 1400

const (
	// A heartbeat that doesn't fit loses loads and evidence only when it has no more than minMembers
	// members and minLocations locations left.
	minMembers   = 4
	minLocations = 8
)

// EncodeHeartbeat encodes a heartbeat. If it does not fit a datagram, EncodeHeartbeat
// removes entries from h until it does: first half of the members, which other heartbeats list too,
// then locations, then the smallest loads, which matter least, then evidence. It returns
// an error if the heartbeat still doesn't fit, or if an address is not IP:PORT.
func EncodeHeartbeat(h *Heartbeat) ([]byte, error) {
	slices.SortFunc(h.Loads, func(a, b routing.LoadCount) int { return int(b.Requests) - int(a.Requests) })
	for {
		payload, err := encodeAll(h)
		if err != nil || len(payload) <= MaxHeartbeatBytes {
			return payload, err
		}
		if !h.shorten() {
			return nil, eris.Errorf("heartbeat of %d bytes does not fit a datagram of %d", len(payload), MaxHeartbeatBytes)
		}
	}
}

// shorten removes some entries. It returns false if there is nothing more to remove.
func (h *Heartbeat) shorten() bool {
	switch {
	case len(h.Members) > minMembers:
		h.Members = h.Members[:len(h.Members)/2]
	case len(h.Locations) > minLocations:
		h.Locations = h.Locations[:len(h.Locations)/2]
	case len(h.Loads) > 0:
		h.Loads = h.Loads[:len(h.Loads)*3/4]
	case len(h.Evidence) > 0:
		h.Evidence = h.Evidence[:len(h.Evidence)/2]
	default:
		return false
	}
	return true
}

// DecodeHeartbeat decodes and validates a heartbeat.
func DecodeHeartbeat(payload []byte) (Heartbeat, error) {
	var m heartbeatMessage
	if err := decode(payload, &m); err != nil {
		return Heartbeat{}, err
	}
	if len(m.Members) == 0 {
		return Heartbeat{}, eris.New("heartbeat has no sender")
	}
	h := Heartbeat{
		Stamp: coordination.Stamp{Wall: m.Wall, Counter: m.Counter}, Era: m.Position.Era, Revision: m.Position.Revision, Version: m.Version,
		FleetSize: m.Size.FleetSize, Confirmed: m.Size.Confirmed, Partial: m.Partial,
		Loads: convert(m.Loads, loadMessage.value), Locations: convert(m.Locations, locationMessage.value),
		Evidence: convert(m.Evidence, evidenceMessage.value),
	}
	for i := range m.Members {
		member, err := m.member(i)
		if err != nil {
			return Heartbeat{}, err
		}
		if i == 0 {
			h.Sender = member
			continue
		}
		h.Members = append(h.Members, member)
	}
	return h, nil
}

// heartbeatMessage is the wire form of a heartbeat. Members make up most of it, so their
// addresses are binary, and each domain is listed once and referred to by its index.
type heartbeatMessage struct {
	_         struct{} `cbor:",toarray"`
	Domains   []state.FailureDomain
	Members   []memberMessage // the first is the sender
	Wall      int64
	Counter   uint32
	Position  positionMessage
	Version   routing.ConfigVersion
	Size      sizeMessage
	Partial   bool
	Loads     []loadMessage
	Locations []locationMessage
	Evidence  []evidenceMessage
}

type memberMessage struct {
	_           struct{} `cbor:",toarray"`
	Address     []byte   // IP and port, as netip.AddrPort writes them
	Domain      int      // index into the message's domains
	Incarnation membership.Incarnation
	Heartbeats  uint64
	State       memberState
}

// memberState holds a member's flags in the low bits and its age, in units of ageUnit, above
// them. Earlier builds send no age and ignore it; they treat all state as current.
type memberState uint8

const (
	stateLeaving          memberState = 1 << iota // in a graceful shutdown
	stateStoreUnreachable                         // can't read the store

	ageShift = 2
	// ageUnit is a sufficiently small fraction of the time after which a domain counts as
	// cut off. maxAge is the greatest number of units that fits the byte; greater ages are
	// clamped to it.
	ageUnit = 100 * time.Millisecond
	maxAge  = 63
)

func newMemberState(m *membership.Member) memberState {
	s := memberState(min(maxAge, (m.Age+ageUnit/2)/ageUnit)) << ageShift
	if m.Leaving {
		s |= stateLeaving
	}
	if m.StoreUnreachable {
		s |= stateStoreUnreachable
	}
	return s
}

func (s memberState) age() time.Duration { return time.Duration(s>>ageShift) * ageUnit }

type loadMessage struct {
	_        struct{} `cbor:",toarray"`
	Replica  routing.LoadKey
	Requests uint16
}

type locationMessage struct {
	_       struct{} `cbor:",toarray"`
	Prompt  routing.PromptKey
	Replica routing.LoadKey
	Size    uint8
}

type evidenceMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica routing.LoadKey
	Good    uint16
	Bad     uint16
}

func (m loadMessage) value() routing.LoadCount {
	return routing.LoadCount{Replica: m.Replica, Requests: m.Requests}
}

func (m locationMessage) value() routing.CacheLocation {
	return routing.CacheLocation{Prompt: m.Prompt, Replica: m.Replica, Size: m.Size}
}

func (m evidenceMessage) value() routing.Evidence {
	return routing.Evidence{Replica: m.Replica, Good: m.Good, Bad: m.Bad}
}

// encodeAll encodes a heartbeat with all its entries, whatever its size.
func encodeAll(h *Heartbeat) ([]byte, error) {
	m := heartbeatMessage{
		Wall: h.Stamp.Wall, Counter: h.Stamp.Counter, Position: positionMessage{h.Era, h.Revision}, Version: h.Version,
		Size: sizeMessage{h.FleetSize, h.Confirmed}, Partial: h.Partial,
		Loads: convert(h.Loads, func(c routing.LoadCount) loadMessage {
			return loadMessage{Replica: c.Replica, Requests: c.Requests}
		}),
		Locations: convert(h.Locations, func(l routing.CacheLocation) locationMessage {
			return locationMessage{Prompt: l.Prompt, Replica: l.Replica, Size: l.Size}
		}),
		Evidence: convert(h.Evidence, func(e routing.Evidence) evidenceMessage {
			return evidenceMessage{Replica: e.Replica, Good: e.Good, Bad: e.Bad}
		}),
	}
	for _, member := range append([]membership.Member{h.Sender}, h.Members...) {
		if err := m.addMember(member); err != nil {
			return nil, err
		}
	}
	return encode(&m)
}

func (m *heartbeatMessage) addMember(member membership.Member) error {
	address, err := encodeAddress(member.Address)
	if err != nil {
		return err
	}
	domain := slices.Index(m.Domains, member.Domain)
	if domain < 0 {
		domain = len(m.Domains)
		m.Domains = append(m.Domains, member.Domain)
	}
	m.Members = append(m.Members, memberMessage{
		Address: address, Domain: domain, Incarnation: member.Incarnation, Heartbeats: member.Heartbeats,
		State: newMemberState(&member),
	})
	return nil
}

// member decodes the member with index i.
func (m *heartbeatMessage) member(i int) (membership.Member, error) {
	in := &m.Members[i]
	address, err := decodeAddress(in.Address)
	if err != nil {
		return membership.Member{}, err
	}
	if in.Domain < 0 || in.Domain >= len(m.Domains) {
		return membership.Member{}, eris.Errorf("member has domain index %d; the heartbeat lists %d domains", in.Domain, len(m.Domains))
	}
	return membership.Member{
		Address: address, Domain: m.Domains[in.Domain],
		Incarnation: in.Incarnation, Heartbeats: in.Heartbeats,
		Leaving: in.State&stateLeaving != 0, StoreUnreachable: in.State&stateStoreUnreachable != 0,
		Age: in.State.age(),
	}, nil
}

// encodeAddress encodes an address in binary.
func encodeAddress(a membership.Address) ([]byte, error) {
	at, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil, eris.Wrapf(err, "encode address of member %s", a)
	}
	address, err := at.MarshalBinary()
	return address, eris.Wrap(err, "encode address of a member")
}

// decodeAddress decodes the result of encodeAddress.
func decodeAddress(b []byte) (membership.Address, error) {
	var at netip.AddrPort
	if err := at.UnmarshalBinary(b); err != nil {
		return "", eris.Wrap(err, "decode address of a member")
	}
	if !at.IsValid() {
		return "", eris.New("member has no address")
	}
	return membership.Address(at.String()), nil
}

// convert applies f to each element. A nil slice stays nil, because it is encoded
// differently from an empty one.
func convert[A, B any](in []A, f func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}
