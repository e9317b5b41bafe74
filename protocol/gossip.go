// This file turns the messages between daemons into the types of the
// coordination package and back. What a peer sends is checked here: a wrong
// field is left out or cut, it never reaches a decision.

package protocol

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
)

// EncodeGossip returns the wire form of a message.
func EncodeGossip(n fleet.Gossip) *peer.News {
	out := &peer.News{
		Sender:       string(n.Sender),
		Incarnation:  uint64(n.Incarnation),
		Domain:       string(n.Domain),
		Address:      n.Address,
		Leaving:      n.Leaving,
		StampWall:    n.Stamp.Wall,
		StampCounter: n.Stamp.Counter,
		Config:       EncodeHead(n.Config),
		List:         EncodeHead(n.List),
		ListAgeMs:    n.ListAge.Milliseconds(),
		Upto:         n.Upto,
		Ack:          n.Ack,
		AckLife:      uint64(n.AckIncarnation),
	}
	if n.ListAge < 0 {
		out.ListAgeMs = -1
	}
	for _, r := range n.Reports {
		out.Reports = append(out.Reports, &peer.Report{
			Id: string(r.ID), Incarnation: uint64(r.Incarnation), State: uint32(r.State),
			Load: uint32(r.Load), Gate: uint32(r.Admission), Seq: r.Seq,
		})
	}
	return out
}

// maxListAge is the age that a peer can give for its list; one beyond it is
// never fresh anyhow, and the limit keeps the arithmetic from overflowing.
const maxListAge = 24 * time.Hour

// DecodeGossip reads the wire form of a message.
func DecodeGossip(m *peer.News) fleet.Gossip {
	out := fleet.Gossip{
		Sender:         state.DaemonID(m.GetSender()),
		Incarnation:    state.Incarnation(m.GetIncarnation()),
		Domain:         state.FailureDomain(m.GetDomain()),
		Address:        m.GetAddress(),
		Leaving:        m.GetLeaving(),
		Stamp:          coordination.Stamp{Wall: m.GetStampWall(), Counter: m.GetStampCounter()},
		Config:         DecodeHead(m.GetConfig()),
		List:           DecodeHead(m.GetList()),
		ListAge:        -1,
		Upto:           m.GetUpto(),
		Ack:            m.GetAck(),
		AckIncarnation: state.Incarnation(m.GetAckLife()),
	}
	if ms := m.GetListAgeMs(); ms >= 0 && ms <= maxListAge.Milliseconds() {
		out.ListAge = time.Duration(ms) * time.Millisecond
	}
	for _, r := range m.GetReports() {
		if report, ok := decodeReport(r); ok {
			out.Reports = append(out.Reports, report)
		}
	}
	return out
}

func decodeReport(r *peer.Report) (fleet.Report, bool) {
	st := state.MemberState(min(r.GetState(), 255))
	if r.GetId() == "" || st < state.Live || st > state.Gone {
		return fleet.Report{}, false
	}
	return fleet.Report{
		ID:          state.UpstreamID(r.GetId()),
		Incarnation: state.Incarnation(r.GetIncarnation()),
		State:       st,
		Load:        state.Load(min(r.GetLoad(), maxWork)),
		Admission:   state.Admission(min(r.GetGate(), uint32(state.AdmitAll))),
		Seq:         r.GetSeq(),
	}, true
}

// EncodeHead returns the message of a head; the zero head is a nil message.
func EncodeHead(h state.Head) *peer.Head {
	if h.IsZero() {
		return nil
	}
	return &peer.Head{Version: h.Version, Digest: h.Digest[:]}
}

// DecodeHead returns the head of a message. A digest of a wrong length gives
// the zero head, which is older than all others.
func DecodeHead(m *peer.Head) state.Head {
	h := state.Head{Version: m.GetVersion()}
	if len(m.GetDigest()) != len(h.Digest) {
		return state.Head{}
	}
	copy(h.Digest[:], m.GetDigest())
	return h
}
