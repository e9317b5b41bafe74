package gossip

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
)

func goldenPermitRequest() admission.PermitRequest {
	return admission.PermitRequest{
		From: "10.0.0.1:7340", Incarnation: 1 << 40, Sequence: 9, Service: "s", Scope: "z1",
		Pending: []admission.Ask{
			{ID: 300, Urgency: admission.NewUrgency(1, 2), Workspace: 1 << 31, UntilTarget: -25 * time.Millisecond, UntilDeadline: 2 * time.Second, Tried: []routing.LoadKey{5, 1 << 31}},
			{ID: 301, UntilTarget: 150 * time.Millisecond, UntilDeadline: 2500 * time.Millisecond},
		},
		Held:        []admission.PermitID{7, 290, 299},
		Finished:    []admission.Finished{{ID: 6, Took: 30100 * time.Microsecond, Result: admission.Completed}, {ID: 5, Result: admission.Rejected}, {ID: 4, Result: admission.Abandoned}},
		Unpermitted: []routing.LoadCount{{Replica: 5, Requests: 2}},
	}
}

func goldenPermitReply() admission.PermitReply {
	return admission.PermitReply{
		From: "10.0.0.2:7340", Incarnation: 7, Answers: 9, Service: "s", Saturated: true,
		Decisions: []admission.Decision{
			admission.Granted{ID: 300, Replica: 1 << 31}, admission.Refused{ID: 301, RetryAfter: 120 * time.Millisecond}, admission.Queued{ID: 302},
		},
	}
}

// TestPermitMessagesRoundTrip guards against fields that are lost or exchanged on the way.
func TestPermitMessagesRoundTrip(t *testing.T) {
	request, reply := goldenPermitRequest(), goldenPermitReply()
	payload, err := EncodePermitRequest(&request)
	if err != nil || !IsPermitRequest(payload) || IsPermitReply(payload) || IsSaturations(payload) {
		t.Fatal(err)
	}
	gotRequest, err := DecodePermitRequest(payload)
	if err != nil || !reflect.DeepEqual(*gotRequest, request) {
		t.Errorf("got %+v, %v; want %+v", gotRequest, err, request)
	}
	if payload, err = EncodePermitReply(&reply); err != nil || !IsPermitReply(payload) || IsPermitRequest(payload) {
		t.Fatal(err)
	}
	gotReply, err := DecodePermitReply(payload)
	if err != nil || !reflect.DeepEqual(*gotReply, reply) {
		t.Errorf("got %+v, %v; want %+v", gotReply, err, reply)
	}
	services := []routing.ServiceName{"s", "t"}
	if payload, err = EncodeSaturations(services); err != nil || !IsSaturations(payload) {
		t.Fatal(err)
	}
	if got, err := DecodeSaturations(payload); err != nil || !slices.Equal(got, services) {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := DecodeHeartbeat(payload); err == nil {
		t.Error("saturation reports were decoded as a heartbeat")
	}
}

// TestFullPermitRequestsFit guards against a daemon that can't ask because it has too much to
// list: the largest number of asks, tried replicas and replicas of a service, and many permits. Of
// the finished permits the oldest are left out, all the others are complete.
func TestFullPermitRequestsFit(t *testing.T) {
	r := admission.PermitRequest{From: "10.200.100.1:65535", Incarnation: 1 << 60, Sequence: 1 << 31, Service: "some-service-of-a-customer", Scope: "some-domain"}
	const first = admission.PermitID(1 << 31)
	for i := range admission.PermitID(MaxAsks) {
		r.Pending = append(r.Pending, admission.Ask{
			ID: first + 1000 + i, Urgency: 1<<16 - 1, Workspace: 1 << 31, UntilTarget: -time.Hour, UntilDeadline: time.Hour,
			Tried: []routing.LoadKey{1 << 31, 1<<31 + 1, 1<<31 + 2, 1<<31 + 3},
		})
	}
	for i := range admission.PermitID(200) {
		r.Held = append(r.Held, first+3*i)
		r.Finished = append(r.Finished, admission.Finished{ID: first - 200 + i, Took: time.Hour, Result: admission.Completed})
	}
	for i := range admission.MaxReplicas {
		r.Unpermitted = append(r.Unpermitted, routing.LoadCount{Replica: routing.LoadKey(1<<31 + i), Requests: 1000})
	}
	payload, err := EncodePermitRequest(&r)
	if err != nil || len(payload) > MaxHeartbeatBytes {
		t.Fatalf("%d bytes, %v", len(payload), err)
	}
	got, err := DecodePermitRequest(payload)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Pending) != MaxAsks || !slices.Equal(got.Held, r.Held) || len(got.Unpermitted) != admission.MaxReplicas {
		t.Errorf("%d asks, %d held, %d unpermitted", len(got.Pending), len(got.Held), len(got.Unpermitted))
	}
	if want := []routing.LoadKey{1<<31 + 1, 1<<31 + 2, 1<<31 + 3}; !slices.Equal(got.Pending[0].Tried, want) {
		t.Errorf("tried %v, want the last three", got.Pending[0].Tried)
	}
	if n := len(got.Finished); n == 0 || n == 200 || got.Finished[n-1].ID != first-1 {
		t.Errorf("%d finished permits, want some, the newest last", n)
	}
	if len(r.Finished) != 200 {
		t.Error("the request was changed")
	}
}

// TestTooLargePermitMessagesAreErrors guards against datagrams that are fragmented on the network.
func TestTooLargePermitMessagesAreErrors(t *testing.T) {
	long := routing.ServiceName(strings.Repeat("s", MaxHeartbeatBytes))
	many := admission.PermitRequest{From: "10.0.0.1:1", Service: "s", Pending: make([]admission.Ask, MaxAsks+1)}
	if _, err := EncodePermitRequest(&many); err == nil {
		t.Error("request with too many asks was encoded")
	}
	if _, err := EncodePermitRequest(&admission.PermitRequest{From: "10.0.0.1:1", Service: long}); err == nil {
		t.Error("request with a long name was encoded")
	}
	if _, err := EncodePermitReply(&admission.PermitReply{From: "10.0.0.1:1", Service: long}); err == nil {
		t.Error("reply with a long name was encoded")
	}
	if _, err := EncodeSaturations([]routing.ServiceName{long}); err == nil {
		t.Error("report with a long name was encoded")
	}
}

// TestInvalidPermitMessagesAreRejected guards against messages of a faulty daemon or stranger that
// a coordinator would act on.
func TestInvalidPermitMessagesAreRejected(t *testing.T) {
	address, err := encodeAddress("10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	requests := map[string]permitRequestMessage{
		"no address":      {Service: "s"},
		"empty address":   {From: []byte{0, 1}, Service: "s"},
		"no service":      {From: address},
		"too many asks":   {From: address, Service: "s", Pending: make([]askMessage, MaxAsks+1)},
		"too many tried":  {From: address, Service: "s", Pending: []askMessage{{Tried: make([]routing.LoadKey, admission.MaxTried+1)}}},
		"cut off id":      {From: address, Service: "s", Held: []byte{0x80}},
		"id out of range": {From: address, Service: "s", Held: []byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1}},
	}
	for name, m := range requests {
		payload, err := encodeReports(kindPermitRequests, 1, []permitRequestMessage{m}, keep)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodePermitRequest(payload); err == nil {
			t.Errorf("%s: decoded as %+v", name, got)
		}
	}
	for name, m := range map[string]permitReplyMessage{
		"no address":       {Service: "s"},
		"no service":       {From: address},
		"unknown decision": {From: address, Service: "s", Decisions: []decisionMessage{{Kind: 9}}},
	} {
		payload, err := encodeReports(kindPermitReplies, 1, []permitReplyMessage{m}, keep)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodePermitReply(payload); err == nil {
			t.Errorf("%s: decoded as %+v", name, got)
		}
	}
	two, err := encodeReports(kindPermitRequests, 2, make([]permitRequestMessage, 2), keep)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodePermitRequest(two); err == nil {
		t.Errorf("two messages: decoded as %+v", got)
	}
}

// TestUnknownResultIsFailure guards against a result of a later build that counts as a success.
func TestUnknownResultIsFailure(t *testing.T) {
	if f := (finishedMessage{ID: 1, Result: 9}).value(); f.Result != admission.Failed {
		t.Errorf("result %d", f.Result)
	}
}

// FuzzPermitMessages decodes arbitrary bytes, which must fail or give a message that round-trips.
func FuzzPermitMessages(f *testing.F) {
	request, reply := goldenPermitRequest(), goldenPermitReply()
	for _, encode := range []func() ([]byte, error){
		func() ([]byte, error) { return EncodePermitRequest(&request) },
		func() ([]byte, error) { return EncodePermitReply(&reply) },
		func() ([]byte, error) { return EncodeSaturations([]routing.ServiceName{"s"}) },
	} {
		payload, err := encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
		f.Add(payload[:len(payload)-1])
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		if r, err := DecodePermitRequest(payload); err == nil {
			checkRoundTrip(t, r, EncodePermitRequest, DecodePermitRequest)
		}
		if r, err := DecodePermitReply(payload); err == nil {
			checkRoundTrip(t, r, EncodePermitReply, DecodePermitReply)
		}
		if list, err := DecodeSaturations(payload); err == nil && len(list) <= MaxSaturations {
			if again, err := EncodeSaturations(list); err == nil {
				if got, err := DecodeSaturations(again); err != nil || !slices.Equal(got, list) {
					t.Fatalf("%q became %q, %v", list, got, err)
				}
			}
		}
	})
}

// checkRoundTrip encodes a decoded message and decodes it again. Messages that don't fit a datagram
// are skipped. Empty lists may become nil.
func checkRoundTrip[M any](t *testing.T, m *M, encode func(*M) ([]byte, error), decode func([]byte) (*M, error)) {
	t.Helper()
	payload, err := encode(m)
	if err != nil {
		return
	}
	again, err := decode(payload)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(*again), fmt.Sprint(*m); got != want {
		t.Fatalf("%s became %s", want, got)
	}
}
