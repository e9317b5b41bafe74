package gossip

import (
	"encoding/hex"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/internal/golden"
	"hingewinch.org/hingewinch/state/feed"
)

// TestHeartbeatsOfLargeFleetsFit encodes a heartbeat with more entries than fit a datagram:
// it must be shortened to fit, with some members and the greatest loads left in it.
func TestHeartbeatsOfLargeFleetsFit(t *testing.T) {
	b := Heartbeat{Sender: membership.Member{Address: "10.0.0.1:7340", Domain: "some-domain"}}
	for i := range 16 {
		b.Members = append(b.Members, membership.Member{Address: membership.Address(fmt.Sprintf("10.200.100.%d:7340", i)), Domain: "some-domain", Incarnation: 1 << 60, Heartbeats: 1 << 30})
	}
	for i := range 4500 {
		b.Loads = append(b.Loads, routing.LoadCount{Replica: routing.LoadKey(1<<31 + i), Requests: uint16(i)})
		b.Evidence = append(b.Evidence, routing.Evidence{Replica: routing.LoadKey(1<<31 + i), Good: 1000, Bad: 1000})
	}
	payload, err := EncodeHeartbeat(&b)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > MaxHeartbeatBytes {
		t.Fatalf("%d bytes", len(payload))
	}
	got, err := DecodeHeartbeat(payload)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Members) < minMembers {
		t.Fatalf("has %d members", len(got.Members))
	}
	if len(got.Loads) > 0 && got.Loads[0].Requests != 4499 {
		t.Fatalf("greatest load is %d", got.Loads[0].Requests)
	}
}

// TestForeignDatagramsAreRejected decodes datagrams that are not heartbeats.
func TestForeignDatagramsAreRejected(t *testing.T) {
	for _, b := range [][]byte{nil, {0}, []byte("hello"), {0x87, 1, 2, 3}} {
		if got, err := DecodeHeartbeat(b); err == nil {
			t.Fatalf("%x was decoded as a heartbeat of %s", b, got.Sender.Address)
		}
	}
}

// TestHeartbeatRoundTrip encodes and decodes a heartbeat with all fields set, and checks that
// truncated ones are rejected.
func TestHeartbeatRoundTrip(t *testing.T) {
	b := Heartbeat{
		Sender: membership.Member{Address: "10.0.0.1:7340", Domain: "z1", Incarnation: 7, Heartbeats: 9, StoreUnreachable: true},
		Members: []membership.Member{
			{Address: "10.0.0.2:7340", Domain: "z2", Incarnation: 1 << 40, Heartbeats: 1, Leaving: true},
			{Address: "10.0.0.3:7340", Domain: "z1", Incarnation: 8, Heartbeats: 2},
		},
		Stamp: coordination.Stamp{Wall: 1, Counter: 2}, Revision: 3, Version: 4, FleetSize: 900, Partial: true,
		Loads: []routing.LoadCount{{Replica: 5, Requests: 6}}, Locations: []routing.CacheLocation{{Prompt: 7, Replica: 8}},
		Evidence: []routing.Evidence{{Replica: 9, Good: 10, Bad: 11}},
	}
	payload, err := EncodeHeartbeat(&b)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeHeartbeat(payload)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, b) {
		t.Errorf("got %+v, want %+v", got, b)
	}
	for i := range payload {
		if damaged, err := DecodeHeartbeat(payload[:i]); err == nil {
			t.Errorf("the first %d bytes were decoded as %+v", i, damaged)
		}
	}
}

// TestDocumentsRoundTrip encodes and decodes a large feed. The encoded form must be much
// smaller than the documents, and a truncated one must be rejected.
func TestDocumentsRoundTrip(t *testing.T) {
	n := Documents{Revision: 9, Whole: true}
	size := 0
	for i := range 3000 {
		it := feed.Item{Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Revision: feed.Revision(i), Value: []byte(fmt.Sprintf(`{"service":"s","address":"10.3.%d.%d:8309","domain":"z","slots":16,"state":"ready"}`, i/250, i%250))}
		n.Items = append(n.Items, it)
		size += len(it.Key) + len(it.Value)
	}
	packed, err := EncodeDocuments(&n)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeDocuments(packed)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, n) {
		t.Error("the decoded documents differ")
	}
	if len(packed) > size/3 {
		t.Errorf("%d bytes for %d bytes of documents", len(packed), size)
	}
	if _, err := DecodeDocuments(packed[:len(packed)/2]); err == nil {
		t.Error("a truncated message was decoded")
	}
}

// TestSilencesRoundTrip encodes and decodes reports of silent replicas. They must not decode
// as a heartbeat, which is all that an earlier build reads, and a heartbeat must not count as
// reports.
func TestSilencesRoundTrip(t *testing.T) {
	var reports []routing.SilenceReport
	for i := range MaxSilences {
		reports = append(reports, routing.SilenceReport{Replica: routing.LoadKey(1<<31 + i), Reporter: routing.ReporterID(1<<31 + i), Age: time.Duration(2990+i%10) * time.Millisecond})
	}
	payload, err := EncodeSilences(reports)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > MaxHeartbeatBytes || !IsSilences(payload) {
		t.Fatalf("%d bytes, recognized: %t", len(payload), IsSilences(payload))
	}
	got, err := DecodeSilences(payload)
	if err != nil || !slices.Equal(got, reports) {
		t.Errorf("got %+v, %v", got, err)
	}
	if h, err := DecodeHeartbeat(payload); err == nil {
		t.Errorf("decoded as a heartbeat: %+v", h)
	}
	heartbeat := goldenHeartbeat()
	payload, err = EncodeHeartbeat(&heartbeat)
	if err != nil || IsSilences(payload) {
		t.Errorf("a heartbeat was recognized as reports, %v", err)
	}
	if _, err := EncodeSilences(append(reports, reports[0])); err == nil {
		t.Error("more reports than fit were encoded")
	}
}

// TestOverloadsRoundTrip encodes and decodes overload reports. They must not decode as a
// heartbeat or as reports of silent replicas, which is what an earlier build reads, and
// reports of silent replicas must not decode as overload reports.
func TestOverloadsRoundTrip(t *testing.T) {
	var reports []routing.OverloadReport
	for i := range MaxOverloads {
		reports = append(reports, routing.OverloadReport{
			Replica: routing.LoadKey(1<<31 + i), Prompt: routing.PromptKey(1<<31 + i), Homes: 1<<16 - 1, Age: time.Duration(1<<20+i) * time.Millisecond,
		})
	}
	payload, err := EncodeOverloads(reports)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > MaxHeartbeatBytes || !IsOverloads(payload) || IsSilences(payload) {
		t.Fatalf("%d bytes, recognized as overloads: %t, as silences: %t", len(payload), IsOverloads(payload), IsSilences(payload))
	}
	got, err := DecodeOverloads(payload)
	if err != nil || !slices.Equal(got, reports) {
		t.Errorf("got %+v, %v", got, err)
	}
	if h, err := DecodeHeartbeat(payload); err == nil {
		t.Errorf("decoded as a heartbeat: %+v", h)
	}
	if s, err := DecodeSilences(payload); err == nil {
		t.Errorf("decoded as reports of silent replicas: %+v", s)
	}
	silences, err := EncodeSilences([]routing.SilenceReport{{Replica: 5}})
	if err != nil {
		t.Fatal(err)
	}
	if c, err := DecodeOverloads(silences); err == nil || IsOverloads(silences) {
		t.Errorf("reports of silent replicas were decoded as %+v", c)
	}
	if _, err := EncodeOverloads(append(reports, reports[0])); err == nil {
		t.Error("more reports than fit were encoded")
	}
}

// TestCrashesRoundTrip encodes and decodes crash reports. They must not be recognized as another
// message that an earlier build reads.
func TestCrashesRoundTrip(t *testing.T) {
	var reports []routing.CrashReport
	for i := range MaxCrashes {
		reports = append(reports, routing.CrashReport{
			Content: routing.ContentKey(1<<62 + i), Caller: routing.CallerKey(1<<31 + i), Replica: routing.LoadKey(1<<31 + i),
			Clears: i%2 == 0, Age: time.Duration(1<<31+i) * time.Millisecond,
		})
	}
	payload, err := EncodeCrashes(reports)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > MaxHeartbeatBytes || !IsCrashes(payload) || IsOverloads(payload) || IsSilences(payload) {
		t.Fatalf("%d bytes, recognized as crashes: %t, as overloads: %t, as silences: %t", len(payload), IsCrashes(payload), IsOverloads(payload), IsSilences(payload))
	}
	got, err := DecodeCrashes(payload)
	if err != nil || !slices.Equal(got, reports) {
		t.Errorf("got %+v, %v", got, err)
	}
	if h, err := DecodeHeartbeat(payload); err == nil {
		t.Errorf("decoded as a heartbeat: %+v", h)
	}
	if _, err := EncodeCrashes(append(reports, reports[0])); err == nil {
		t.Error("more reports than fit were encoded")
	}
	old, err := EncodeCrashes([]routing.CrashReport{{Content: 1, Age: 5000 * time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeCrashes(old); err != nil || got[0].Age < 1000*time.Hour {
		t.Errorf("an age beyond the maximum was decoded as %v, %v", got[0].Age, err)
	}
}

func goldenHeartbeat() Heartbeat {
	return Heartbeat{
		Sender: membership.Member{Address: "10.0.0.1:7340", Domain: "z1", Incarnation: 7, Heartbeats: 9, StoreUnreachable: true},
		Members: []membership.Member{
			{Address: "10.0.0.2:7340", Domain: "z2", Incarnation: 1 << 40, Heartbeats: 1, Leaving: true},
			{Address: "10.0.0.3:7340", Domain: "z1", Incarnation: 8, Heartbeats: 2},
		},
		Stamp: coordination.Stamp{Wall: 1_700_000_000_123_456_789, Counter: 2}, Revision: 3, Version: 4, FleetSize: 900,
		Loads:     []routing.LoadCount{{Replica: 5, Requests: 6}, {Replica: 1 << 31, Requests: 2}},
		Locations: []routing.CacheLocation{{Prompt: 7, Replica: 8, Size: 12}},
		Evidence:  []routing.Evidence{{Replica: 9, Good: 10, Bad: 11}},
	}
}

// TestMessageEncodingIsStable compares the encoding of one message of each kind with the golden
// file, because daemons of two builds exchange messages during an upgrade.
func TestMessageEncodingIsStable(t *testing.T) {
	var b strings.Builder
	write := func(name string, payload []byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		b.WriteString(name + " " + hex.EncodeToString(payload) + "\n")
	}
	full := goldenHeartbeat()
	payload, err := EncodeHeartbeat(&full)
	write("heartbeat", payload, err)
	confirmed := goldenHeartbeat()
	confirmed.Confirmed = NewConfirmedAge(425*time.Millisecond, true)
	payload, err = EncodeHeartbeat(&confirmed)
	write("heartbeat with an age", payload, err)
	short := goldenHeartbeat()
	short.Partial, short.Members, short.Loads, short.Evidence = true, nil, nil, nil
	payload, err = EncodeHeartbeat(&short)
	write("short heartbeat", payload, err)
	documents := Documents{Revision: 9, Whole: true, Items: []feed.Item{
		{Key: "servers/i-1", Value: []byte(`{"service":"s"}`), Revision: 8},
		{Key: "servers/i-2", Revision: 9, Deleted: true},
	}}
	payload, err = encodeDocuments(&documents)
	write("documents", payload, err)
	payload, err = EncodeSilences([]routing.SilenceReport{{Replica: 5, Reporter: 1 << 31, Age: 250 * time.Millisecond}})
	write("silences", payload, err)
	payload, err = EncodeOverloads([]routing.OverloadReport{{Replica: 5, Prompt: 1 << 31, Homes: 300, Age: 250 * time.Millisecond}})
	write("crowds", payload, err)
	payload, err = EncodeCrashes([]routing.CrashReport{{Content: 1 << 40, Caller: 1 << 31, Replica: 5, Age: 250 * time.Millisecond}, {Content: 7, Clears: true}})
	write("crashes", payload, err)
	payload, err = EncodeDepartures([]routing.DepartureReport{{Replica: 5, Age: 250 * time.Millisecond}, {Replica: 1 << 31}})
	write("leavings", payload, err)
	payload, err = EncodeLiveness([]routing.LivenessReport{{Replica: 5, Since: time.Hour, Age: 250 * time.Millisecond}})
	write("lives", payload, err)
	payload, err = EncodeTransferRequests([]TransferRequest{{ID: 3, From: "10.0.0.1:1", Service: "s", Requested: 0.25}})
	write("loan asks", payload, err)
	payload, err = EncodeTransferGrants([]TransferGrant{{ID: 3, Granted: 0.25}})
	write("loans", payload, err)
	payload, err = EncodeDigest(&feed.Digest{Revision: 9, Sums: []uint64{1, 0, 1 << 63, 0, 0, 0, 0, 7}})
	write("digest", payload, err)
	write("parts", EncodeParts(feed.Parts{0: true, 9: true, 15: false}), nil)
	era := goldenHeartbeat()
	era.Era = 7
	payload, err = EncodeHeartbeat(&era)
	write("heartbeat in an era", payload, err)
	request, reply := goldenPermitRequest(), goldenPermitReply()
	payload, err = EncodePermitRequest(&request)
	write("permit request", payload, err)
	payload, err = EncodePermitReply(&reply)
	write("permit reply", payload, err)
	payload, err = EncodeSaturations([]routing.ServiceName{"s", "t"})
	write("saturations", payload, err)
	payload, err = EncodeOrigins([]routing.StreamOrigin{{Stream: 1 << 40, Version: 1 << 31, Left: time.Minute}})
	write("origins", payload, err)
	payload, err = EncodeOriginRequests([]OriginRequest{{ID: 3, From: "10.0.0.1:1", Stream: 1 << 40}})
	write("origin requests", payload, err)
	payload, err = EncodeOriginReplies([]OriginReply{{ID: 3, Version: 1 << 31}, {ID: 4}})
	write("origin replies", payload, err)
	payload, err = EncodePartCrashes([]routing.CrashReport{{Content: 1 << 40, Caller: 1 << 31, Replica: 5, Request: 1 << 50, Age: 250 * time.Millisecond}, {Content: 7, Clears: true}, {Content: 8, Verdict: true}})
	write("part crashes", payload, err)
	payload, err = EncodeVersions(goldenVersions())
	write("versions", payload, err)
	known := goldenVersions()
	known.Versions[0].KnownFor = 1500 * time.Millisecond
	payload, err = EncodeVersions(known)
	write("versions with a time since when one is known", payload, err)
	golden.Compare(t, "messages.txt", b.String())
}

// TestOldMessagesAreRead decodes the golden heartbeat, which stands for one of another build.
func TestOldMessagesAreRead(t *testing.T) {
	text, err := os.ReadFile(golden.File("messages.txt"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	payload, err := hex.DecodeString(strings.TrimPrefix(lines[0], "heartbeat "))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeHeartbeat(payload)
	if err != nil {
		t.Fatal(err)
	}
	want := goldenHeartbeat()
	if got.Sender != want.Sender || !slices.Equal(got.Members, want.Members) || got.FleetSize != want.FleetSize {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestTransferRoundTrip encodes and decodes budget transfers of different sizes. The receiver must
// never get more than was granted, and at most 0.0011 less.
func TestTransferRoundTrip(t *testing.T) {
	for i := range 1001 {
		granted := routing.Retries(i) / 1000
		payload, err := EncodeTransferGrants([]TransferGrant{{ID: 7, Granted: granted}})
		if err != nil || !IsTransferGrants(payload) || IsTransferRequests(payload) {
			t.Fatal(err)
		}
		got, err := DecodeTransferGrants(payload)
		if err != nil || got[0].ID != 7 || got[0].Granted > granted+1e-9 || got[0].Granted < granted-0.0011 {
			t.Fatalf("granted %v, got %v, %v", granted, got, err)
		}
	}
	request := TransferRequest{ID: 7, From: "10.0.0.1:1", Service: "s", Requested: 0.1234}
	payload, err := EncodeTransferRequests([]TransferRequest{request})
	if err != nil || !IsTransferRequests(payload) {
		t.Fatal(err)
	}
	got, err := DecodeTransferRequests(payload)
	if err != nil || got[0].Requested < request.Requested || got[0].Requested > request.Requested+0.0011 || got[0].From != request.From || got[0].Service != request.Service {
		t.Fatalf("got %v, %v", got, err)
	}
}

func goldenVersions() *routing.VersionReport {
	return &routing.VersionReport{At: feed.Position{Era: 2, Revision: 9}, Complete: time.Minute, Versions: []routing.UsedVersion{
		{Service: "s", Version: 1 << 31}, {Service: "s", Version: 7, LeftFor: 3 * time.Second},
	}}
}

// TestVersionsRoundTrip encodes and decodes a history of versions, and rejects what is none.
func TestVersionsRoundTrip(t *testing.T) {
	payload, err := EncodeVersions(goldenVersions())
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeVersions(payload)
	if err != nil || !reflect.DeepEqual(got, goldenVersions()) {
		t.Errorf("decoded %+v, %v", got, err)
	}
	if _, err := DecodeVersions(payload[:len(payload)-1]); err == nil {
		t.Error("a truncated history is decoded")
	}
}
