// This file converts gossip messages between their wire form and the types of
// coordination/fleet. Fields from a peer are validated here: an invalid field is
// dropped or clamped and never affects a decision.

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

// maxListAge is the greatest age that a peer can report for its member list. An
// older list never counts as fresh, and the limit keeps the conversion to
// time.Duration from overflowing.
const maxListAge = 24 * time.Hour

// DecodeGossip validates and converts the wire form of a message.
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

// decodeReport returns false for a report without an id or with an unknown state,
// and clamps numbers that are too large.
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

// EncodeHead returns the wire form of a head, which is nil for the zero head.
func EncodeHead(h state.Head) *peer.Head {
	if h.IsZero() {
		return nil
	}
	return &peer.Head{Version: h.Version, Digest: h.Digest[:]}
}

// DecodeHead converts the wire form of a head. If the digest has the wrong length,
// it returns the zero head, which is older than all others.
func DecodeHead(m *peer.Head) state.Head {
	h := state.Head{Version: m.GetVersion()}
	if len(m.GetDigest()) != len(h.Digest) {
		return state.Head{}
	}
	copy(h.Digest[:], m.GetDigest())
	return h
}
