package gossip

import (
	"math"
	"reflect"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestReportsAreReadAsWritten guards against origins of streams, questions and replies about them, and
// crashes of parts that change on their way or exceed a datagram.
func TestReportsAreReadAsWritten(t *testing.T) {
	var origins []routing.StreamOrigin
	var requests []OriginRequest
	var replies []OriginReply
	for range MaxOrigins {
		origins = append(origins, routing.StreamOrigin{Stream: math.MaxUint64, Version: math.MaxUint32, Left: 49 * 24 * time.Hour})
		requests = append(requests, OriginRequest{ID: math.MaxUint32, From: "255.255.255.255:65535", Stream: math.MaxUint64})
		replies = append(replies, OriginReply{ID: math.MaxUint32, Version: math.MaxUint32})
	}
	var crashes []routing.CrashReport
	for range MaxPartCrashes {
		crashes = append(crashes, routing.CrashReport{
			Content: math.MaxUint64, Caller: math.MaxUint32, Replica: math.MaxUint32, Request: math.MaxUint64, Clears: true, Verdict: true, Age: 49 * 24 * time.Hour,
		})
	}
	check(t, crashes, EncodePartCrashes, DecodePartCrashes, IsPartCrashes)
	check(t, origins, EncodeOrigins, DecodeOrigins, IsOrigins)
	check(t, requests, EncodeOriginRequests, DecodeOriginRequests, IsOriginRequests)
	check(t, replies, EncodeOriginReplies, DecodeOriginReplies, IsOriginReplies)
}

func check[R any](t *testing.T, in []R, encode func([]R) ([]byte, error), decode func([]byte) ([]R, error), is func([]byte) bool) {
	t.Helper()
	payload, err := encode(in)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > MaxHeartbeatBytes || !is(payload) {
		t.Errorf("%T: %d bytes, recognized %t", in, len(payload), is(payload))
	}
	out, err := decode(payload)
	if err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("%T: read %v, %v", in, out, err)
	}
	if _, err := decode(payload[:len(payload)-1]); err == nil {
		t.Errorf("%T: a truncated message was read", in)
	}
	if _, err := encode(append(in, in...)); err == nil {
		t.Errorf("%T: too many were encoded", in)
	}
}
