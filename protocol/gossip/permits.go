// This file encodes the messages about permits for saturated services (coordination/admission). A
// daemon of an earlier build drops them, and the others treat it as a silent coordinator. Each
// message fits one datagram.

package gossip

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

const (
	// MaxAsks is the number of pending asks in a request for permits. A reply decides these, and
	// others that have been granted since.
	MaxAsks = admission.MaxPending
	// maxHeld is the number of permits that a request can list as held. Ids increase, so that most
	// of them take one byte.
	maxHeld = 1000
	// MaxSaturations is the number of services in a datagram of saturation reports.
	MaxSaturations = 16
	// permitTimeUnit is the unit of the times in messages about permits. Requests take 15 ms and
	// more, and coordinators estimate how long they take from these times.
	permitTimeUnit = 100 * time.Microsecond
)

type permitRequestMessage struct {
	_           struct{} `cbor:",toarray"`
	From        []byte   // IP and port, as netip.AddrPort writes them
	Incarnation membership.Incarnation
	Sequence    admission.Sequence
	Service     routing.ServiceName
	Scope       admission.Scope
	Pending     []askMessage
	Held        []byte // increasing ids; see appendIDs
	Finished    []finishedMessage
	Unpermitted []loadMessage
}

type askMessage struct {
	_             struct{} `cbor:",toarray"`
	ID            admission.PermitID
	Urgency       admission.Urgency
	Workspace     admission.WorkspaceKey
	UntilTarget   int32 // in permitTimeUnit; negative if the target has passed
	UntilDeadline int32 // in permitTimeUnit
	Tried         []routing.LoadKey
}

type finishedMessage struct {
	_      struct{} `cbor:",toarray"`
	ID     admission.PermitID
	Took   uint32 // in permitTimeUnit
	Result admission.Result
}

type permitReplyMessage struct {
	_           struct{} `cbor:",toarray"`
	From        []byte   // IP and port, as netip.AddrPort writes them
	Incarnation membership.Incarnation
	Answers     admission.Sequence
	Service     routing.ServiceName
	Scope       admission.Scope
	Saturated   bool
	Decisions   []decisionMessage
}

type decisionMessage struct {
	_     struct{} `cbor:",toarray"`
	ID    admission.PermitID
	Kind  decisionKind
	Value uint32 // the replica's key if granted, the time to come back in permitTimeUnit if refused
}

// decisionKind is the kind of a decision on an ask.
type decisionKind uint8

const (
	decisionQueued  decisionKind = 0
	decisionGranted decisionKind = 1
	decisionRefused decisionKind = 2
)

type saturationMessage struct {
	_       struct{} `cbor:",toarray"`
	Service routing.ServiceName
}

// EncodePermitRequest encodes a request for permits. If it does not fit a datagram, finished
// permits are left out, the oldest first: the coordinator then learns less about the speed of
// replicas. It returns an error if the request still does not fit.
func EncodePermitRequest(r *admission.PermitRequest) ([]byte, error) {
	if len(r.Pending) > MaxAsks || len(r.Held) > maxHeld {
		return nil, eris.Errorf("request with %d asks and %d permits does not fit a datagram; list at most %d and %d", len(r.Pending), len(r.Held), MaxAsks, maxHeld)
	}
	from, err := encodeAddress(r.From)
	if err != nil {
		return nil, err
	}
	m := permitRequestMessage{
		From: from, Incarnation: r.Incarnation, Sequence: r.Sequence, Service: r.Service, Scope: r.Scope,
		Pending: convert(r.Pending, newAskMessage), Held: appendIDs(nil, r.Held),
		Finished: convert(r.Finished, func(f admission.Finished) finishedMessage {
			return finishedMessage{ID: f.ID, Took: uint32(max(0, permitTime(f.Took))), Result: f.Result}
		}),
		Unpermitted: convert(r.Unpermitted, func(c routing.LoadCount) loadMessage {
			return loadMessage{Replica: c.Replica, Requests: c.Requests}
		}),
	}
	for {
		payload, err := encodeReports(kindPermitRequests, 1, []permitRequestMessage{m}, keep[permitRequestMessage])
		if err != nil || len(payload) <= MaxHeartbeatBytes {
			return payload, err
		}
		if len(m.Finished) == 0 {
			return nil, eris.Errorf("request for permits of service %q takes %d bytes and does not fit a datagram of %d", r.Service, len(payload), MaxHeartbeatBytes)
		}
		m.Finished = m.Finished[(len(m.Finished)+1)/2:]
	}
}

// IsPermitRequest reports whether a datagram holds a request for permits.
func IsPermitRequest(payload []byte) bool { return isReports(payload, kindPermitRequests) }

// DecodePermitRequest decodes and validates a request for permits.
func DecodePermitRequest(payload []byte) (*admission.PermitRequest, error) {
	m, err := decodeOne[permitRequestMessage](payload, kindPermitRequests)
	if err != nil {
		return nil, err
	}
	from, err := decodeAddress(m.From)
	if err != nil {
		return nil, err
	}
	held, err := readIDs(m.Held)
	if err != nil {
		return nil, err
	}
	if m.Service == "" || len(m.Pending) > MaxAsks {
		return nil, eris.Errorf("request for permits of service %q has %d asks; want a service and at most %d", m.Service, len(m.Pending), MaxAsks)
	}
	if slices.ContainsFunc(m.Pending, func(a askMessage) bool { return len(a.Tried) > admission.MaxTried }) {
		return nil, eris.Errorf("ask lists more than %d replicas as tried", admission.MaxTried)
	}
	return &admission.PermitRequest{
		From: from, Incarnation: m.Incarnation, Sequence: m.Sequence, Service: m.Service, Scope: m.Scope,
		Pending: convert(m.Pending, askMessage.value), Held: held,
		Finished: convert(m.Finished, finishedMessage.value), Unpermitted: convert(m.Unpermitted, loadMessage.value),
	}, nil
}

// newAskMessage converts an ask. Only the last replicas that were tried are listed.
func newAskMessage(a admission.Ask) askMessage {
	return askMessage{
		ID: a.ID, Urgency: a.Urgency, Workspace: a.Workspace,
		UntilTarget: permitTime(a.UntilTarget), UntilDeadline: permitTime(a.UntilDeadline),
		Tried: a.Tried[max(0, len(a.Tried)-admission.MaxTried):],
	}
}

func (m askMessage) value() admission.Ask {
	return admission.Ask{
		ID: m.ID, Urgency: m.Urgency, Workspace: m.Workspace,
		UntilTarget: time.Duration(m.UntilTarget) * permitTimeUnit, UntilDeadline: time.Duration(m.UntilDeadline) * permitTimeUnit,
		Tried: m.Tried,
	}
}

// value converts a finished permit. A result that this build does not know becomes
// [admission.Failed].
func (m finishedMessage) value() admission.Finished {
	f := admission.Finished{ID: m.ID, Took: permitDuration(m.Took)}
	if m.Result <= admission.Abandoned {
		f.Result = m.Result
	}
	return f
}

// EncodePermitReply encodes a coordinator's reply. It returns an error if the reply does not fit a
// datagram.
func EncodePermitReply(r *admission.PermitReply) ([]byte, error) {
	from, err := encodeAddress(r.From)
	if err != nil {
		return nil, err
	}
	m := permitReplyMessage{
		From: from, Incarnation: r.Incarnation, Answers: r.Answers, Service: r.Service, Scope: r.Scope,
		Saturated: r.Saturated, Decisions: convert(r.Decisions, newDecisionMessage),
	}
	payload, err := encodeReports(kindPermitReplies, 1, []permitReplyMessage{m}, keep[permitReplyMessage])
	if err == nil && len(payload) > MaxHeartbeatBytes {
		return nil, eris.Errorf("reply with %d decisions takes %d bytes and does not fit a datagram of %d", len(r.Decisions), len(payload), MaxHeartbeatBytes)
	}
	return payload, err
}

// IsPermitReply reports whether a datagram holds a coordinator's reply.
func IsPermitReply(payload []byte) bool { return isReports(payload, kindPermitReplies) }

// DecodePermitReply decodes and validates a coordinator's reply.
func DecodePermitReply(payload []byte) (*admission.PermitReply, error) {
	m, err := decodeOne[permitReplyMessage](payload, kindPermitReplies)
	if err != nil {
		return nil, err
	}
	from, err := decodeAddress(m.From)
	if err != nil {
		return nil, err
	}
	if m.Service == "" {
		return nil, eris.New("reply about permits names no service")
	}
	r := &admission.PermitReply{
		From: from, Incarnation: m.Incarnation, Answers: m.Answers, Service: m.Service, Scope: m.Scope, Saturated: m.Saturated,
	}
	for _, d := range m.Decisions {
		v, err := d.value()
		if err != nil {
			return nil, err
		}
		r.Decisions = append(r.Decisions, v)
	}
	return r, nil
}

func newDecisionMessage(d admission.Decision) decisionMessage {
	m := decisionMessage{ID: d.Permit()}
	switch d := d.(type) {
	case admission.Granted:
		m.Kind, m.Value = decisionGranted, uint32(d.Replica)
	case admission.Refused:
		m.Kind, m.Value = decisionRefused, uint32(max(0, permitTime(d.RetryAfter)))
	case admission.Queued:
		m.Kind = decisionQueued
	}
	return m
}

func (m decisionMessage) value() (admission.Decision, error) {
	switch m.Kind {
	case decisionQueued:
		return admission.Queued{ID: m.ID}, nil
	case decisionGranted:
		return admission.Granted{ID: m.ID, Replica: routing.LoadKey(m.Value)}, nil
	case decisionRefused:
		return admission.Refused{ID: m.ID, RetryAfter: permitDuration(m.Value)}, nil
	}
	return nil, eris.Errorf("decision of kind %d is not known", m.Kind)
}

// EncodeSaturations encodes up to [MaxSaturations] saturation reports, which name a service each.
// It returns an error if they do not fit a datagram.
func EncodeSaturations(services []routing.ServiceName) ([]byte, error) {
	payload, err := encodeReports(kindSaturations, MaxSaturations, services, func(s routing.ServiceName) saturationMessage {
		return saturationMessage{Service: s}
	})
	if err == nil && len(payload) > MaxHeartbeatBytes {
		return nil, eris.Errorf("names of %d saturated services take %d bytes and do not fit a datagram of %d", len(services), len(payload), MaxHeartbeatBytes)
	}
	return payload, err
}

// IsSaturations reports whether a datagram holds saturation reports.
func IsSaturations(payload []byte) bool { return isReports(payload, kindSaturations) }

// DecodeSaturations decodes a datagram of saturation reports.
func DecodeSaturations(payload []byte) ([]routing.ServiceName, error) {
	return decodeReports(payload, kindSaturations, func(m saturationMessage) routing.ServiceName { return m.Service })
}

// decodeOne decodes a datagram with one message of a kind.
func decodeOne[M any](payload []byte, kind reportKind) (*M, error) {
	list, err := decodeReports(payload, kind, keep[M])
	if err != nil {
		return nil, err
	}
	if len(list) != 1 {
		return nil, eris.Errorf("datagram of kind %d has %d messages, want 1", kind, len(list))
	}
	return &list[0], nil
}

func keep[M any](m M) M { return m }

// permitTime converts a duration to permitTimeUnit, rounded, and clamps it to the field, 59 hours.
func permitTime(d time.Duration) int32 {
	return int32(min(max(d.Round(permitTimeUnit)/permitTimeUnit, math.MinInt32), math.MaxInt32))
}

// permitDuration converts a time that is not negative back to a duration, clamped like permitTime.
func permitDuration(n uint32) time.Duration {
	return time.Duration(min(n, math.MaxInt32)) * permitTimeUnit
}

// appendIDs appends ids in increasing order, each as the difference from the one before.
func appendIDs(b []byte, ids []admission.PermitID) []byte {
	last := admission.PermitID(0)
	for _, id := range slices.Sorted(slices.Values(ids)) {
		b = binary.AppendUvarint(b, uint64(id-last))
		last = id
	}
	return b
}

// readIDs reads the result of appendIDs.
func readIDs(b []byte) ([]admission.PermitID, error) {
	var ids []admission.PermitID
	last := uint64(0)
	for len(b) > 0 {
		difference, n := binary.Uvarint(b)
		if n <= 0 || difference > math.MaxUint32 || last+difference > math.MaxUint32 || len(ids) == maxHeld {
			return nil, eris.New("list of permits is not valid")
		}
		last += difference
		ids, b = append(ids, admission.PermitID(last)), b[n:]
	}
	return ids, nil
}
