package routes

import (
	"fmt"
	"reflect"
	"testing"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// TestBeatsOfLargeFleetsFit fills a beat with more than a datagram holds: it
// still goes out, names some members and keeps the greatest loads.
func TestBeatsOfLargeFleetsFit(t *testing.T) {
	b := Beat{Sender: membership.Member{Address: "10.0.0.1:7340", Domain: "some-domain"}}
	for i := range 16 {
		b.Members = append(b.Members, membership.Member{Address: membership.Address(fmt.Sprintf("10.200.100.%d:7340", i)), Domain: "some-domain", Life: 1 << 60, Count: 1 << 30})
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
	got, err := decodeBeat(payload)
	if err != nil {
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
		if got, err := decodeBeat(b); err == nil {
			t.Fatalf("%x was taken as a beat of %s", b, got.Sender.Address)
		}
	}
}

// TestBeatsComeThroughAsTheyWere encodes and decodes a beat with everything in it.
func TestBeatsComeThroughAsTheyWere(t *testing.T) {
	b := Beat{
		Sender: membership.Member{Address: "10.0.0.1:7340", Domain: "z1", Life: 7, Count: 9, Blind: true},
		Members: []membership.Member{
			{Address: "10.0.0.2:7340", Domain: "z2", Life: 1 << 40, Count: 1, Leaving: true},
			{Address: "10.0.0.3:7340", Domain: "z1", Life: 8, Count: 2},
		},
		Wall: 1, Counter: 2, Revision: 3, Version: 4, Fleet: 900, Notice: true,
		Loads: []routing.Count{{Replica: 5, Requests: 6}}, Holdings: []routing.Holding{{Prompt: 7, Replica: 8}},
		Evidence: []routing.Evidence{{Replica: 9, Good: 10, Bad: 11}},
	}
	payload, err := encodeBeat(&b)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeBeat(payload)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, b) {
		t.Errorf("got %+v, want %+v", got, b)
	}
	for i := range payload {
		if damaged, err := decodeBeat(payload[:i]); err == nil {
			t.Errorf("a part of %d bytes was taken as %+v", i, damaged)
		}
	}
}

// TestNewsComesThroughAsItWas packs a large feed: it is whole, and much smaller
// than what it holds.
func TestNewsComesThroughAsItWas(t *testing.T) {
	n := News{Revision: 9, Whole: true}
	size := 0
	for i := range 3000 {
		it := feed.Item{Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Revision: feed.Revision(i), Value: []byte(fmt.Sprintf(`{"service":"s","address":"10.3.%d.%d:8309","domain":"z","slots":16,"state":"ready"}`, i/250, i%250))}
		n.Items = append(n.Items, it)
		size += len(it.Key) + len(it.Value)
	}
	packed, err := packNews(&n)
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpackNews(packed)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, n) {
		t.Error("news changed on the way")
	}
	if len(packed) > size/3 {
		t.Errorf("%d bytes of news for %d bytes of documents", len(packed), size)
	}
	if _, err := unpackNews(packed[:len(packed)/2]); err == nil {
		t.Error("half of the news was taken as whole")
	}
}
