package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// TestConfirmedAgeRoundTrip guards against ages that are told as less than they are, and against sizes of fleets that the
// previous build, which knows no ages, can't read.
func TestConfirmedAgeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "age"))
		want := sizeMessage{FleetSize: rapid.Int().Draw(t, "size"), Confirmed: NewConfirmedAge(age, rapid.Bool().Draw(t, "confirmed"))}
		if rapid.Bool().Draw(t, "previous") {
			want.Confirmed = 0
		}
		payload, err := cbor.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got sizeMessage
		if err := cbor.Unmarshal(payload, &got); err != nil || got != want {
			t.Fatalf("%v became %v, %v", want, got, err)
		}
		var size int
		if err := cbor.Unmarshal(payload, &size); err != nil || size != want.FleetSize {
			t.Fatalf("the previous build decodes %v as %d, %v", want, size, err)
		}
		longest := time.Duration(maxConfirmed-1) * confirmedUnit
		if told, ok := got.Confirmed.Age(); ok && told < min(age, longest) || ok && told < longest && told >= age+confirmedUnit {
			t.Fatalf("an age of %v is told as %v", age, told)
		}
	})
}

// TestPreviousBuildReadsHeartbeatsWithAge decodes a heartbeat with an age into the message type of the previous build, and one
// of the previous build, which must not be taken for one that was confirmed at some time.
func TestPreviousBuildReadsHeartbeatsWithAge(t *testing.T) {
	h := goldenHeartbeat()
	h.Confirmed = NewConfirmedAge(420*time.Millisecond, true)
	payload, err := EncodeHeartbeat(&h)
	if err != nil {
		t.Fatal(err)
	}
	var previous struct {
		_         struct{} `cbor:",toarray"`
		Domains   []string
		Members   []memberMessage
		Wall      int64
		Counter   uint32
		Position  positionMessage
		Version   uint64
		FleetSize int
		Partial   bool
		Loads     []loadMessage
		Locations []locationMessage
		Evidence  []evidenceMessage
	}
	if err := decode(payload, &previous); err != nil || previous.FleetSize != 900 || len(previous.Loads) != len(h.Loads) {
		t.Errorf("the previous build decodes %+v, %v", previous, err)
	}
	got, err := DecodeHeartbeat(payload)
	if age, ok := got.Confirmed.Age(); err != nil || !ok || age != 420*time.Millisecond || got.FleetSize != 900 {
		t.Errorf("%v, %t, fleet of %d, %v", age, ok, got.FleetSize, err)
	}
	if payload, err = encode(&previous); err != nil {
		t.Fatal(err)
	}
	got, err = DecodeHeartbeat(payload)
	if _, ok := got.Confirmed.Age(); err != nil || ok || got.FleetSize != 900 {
		t.Errorf("a heartbeat of the previous build has an age: %t, fleet of %d, %v", ok, got.FleetSize, err)
	}
}

// TestTagsThatNameNoAgeAreIgnored decodes sizes with other tags.
func TestTagsThatNameNoAgeAreIgnored(t *testing.T) {
	for _, tag := range []uint64{100, confirmedTag, confirmedTag - 1, confirmedTag + uint64(maxConfirmed) + 1, 1<<64 - 1} {
		payload, err := cbor.Marshal(cbor.Tag{Number: tag, Content: 5})
		if err != nil {
			t.Fatal(err)
		}
		var got sizeMessage
		if err := cbor.Unmarshal(payload, &got); err != nil || got != (sizeMessage{FleetSize: 5}) {
			t.Errorf("tag %d: %v, %v", tag, got, err)
		}
	}
}
