package router

import (
	"fmt"
	"testing"

	"hingewinch.org/hingewinch/membership"
	"hingewinch.org/hingewinch/routing"
)

// TestBeatsOfLargeFleetsFit fills a beat with more than a datagram holds: it
// still goes out, names some members and keeps the greatest loads.
func TestBeatsOfLargeFleetsFit(t *testing.T) {
	b := Beat{Sender: membership.Member{Address: "10.0.0.1:7340", Zone: "some-zone"}}
	for i := range 16 {
		b.Members = append(b.Members, membership.Member{Address: membership.Address(fmt.Sprintf("10.200.100.%d:7340", i)), Zone: "some-zone", Life: 1 << 60, Count: 1 << 30})
	}
	for i := range 4500 {
		b.Loads = append(b.Loads, routing.Count{Replica: routing.LoadKey(1<<31 + i), Requests: uint16(i)})
		b.Evidence = append(b.Evidence, routing.Evidence{Replica: routing.LoadKey(1<<31 + i), Good: 1000, Bad: 1000})
	}
	payload, err := encodeBeat(&b)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > maxBeatBytes {
		t.Fatalf("%d bytes", len(payload))
	}
	var got Beat
	if err := decode(payload, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Members) < leastNamed {
		t.Fatalf("names %d members", len(got.Members))
	}
	if len(got.Loads) > 0 && got.Loads[0].Requests != 4499 {
		t.Fatalf("greatest load is %d", got.Loads[0].Requests)
	}
}

// TestForeignDatagramsAreRefused feeds what is no beat.
func TestForeignDatagramsAreRefused(t *testing.T) {
	for _, b := range [][]byte{nil, {0}, []byte("hello"), {0x87, 1, 2, 3}} {
		var got Beat
		if decode(b, &got) == nil && got.Sender.Address != "" {
			t.Fatalf("%x was taken as a beat", b)
		}
	}
}
