package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// previousVersions is the history of versions in the previous build.
type previousVersions struct {
	_        struct{} `cbor:",toarray"`
	Position positionMessage
	Complete uint32
	Versions []previousVersion
}

type previousVersion struct {
	_       struct{} `cbor:",toarray"`
	Service routing.ServiceName
	Version routing.VersionKey
	LeftFor uint32
}

// TestHistoryTellsSinceWhenVersionsAreKnown encodes and decodes histories, also as the previous build does, which must find all
// but the times since when versions are known.
func TestHistoryTellsSinceWhenVersionsAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := routing.UsedVersion{
			Service: "s", Version: 7, LeftFor: time.Duration(rapid.Uint32().Draw(t, "left")) * time.Millisecond,
			KnownFor: time.Duration(rapid.Int64Range(0, maxKnownFor.Milliseconds()).Draw(t, "known")) * time.Millisecond,
		}
		payload, err := EncodeVersions(&routing.VersionReport{At: feed.Position{Era: 2, Revision: 9}, Complete: time.Minute, Versions: []routing.UsedVersion{want}})
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeVersions(payload)
		if err != nil || len(got.Versions) != 1 || got.Versions[0] != want {
			t.Fatalf("%+v became %+v, %v", want, got, err)
		}
		var previous previousVersions
		if err := decode(payload, &previous); err != nil || len(previous.Versions) != 1 {
			t.Fatalf("the previous build decodes %+v, %v", previous, err)
		}
		if left := time.Duration(previous.Versions[0].LeftFor) * time.Millisecond; left != want.LeftFor || previous.Versions[0].Version != 7 {
			t.Fatalf("the previous build decodes %+v", previous.Versions[0])
		}
	})
}

// TestKnownForIsBounded guards against a tag of another meaning, and against a version that counts as known for longer than the
// sender has known it.
func TestKnownForIsBounded(t *testing.T) {
	for _, c := range []struct{ known, want time.Duration }{
		{time.Hour, maxKnownFor}, {maxKnownFor, maxKnownFor}, {time.Microsecond, time.Millisecond}, {1999 * time.Microsecond, time.Millisecond}, {-time.Second, 0},
	} {
		payload, err := EncodeVersions(&routing.VersionReport{Versions: []routing.UsedVersion{{Service: "s", Version: 7, KnownFor: c.known}}})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeVersions(payload); err != nil || got.Versions[0].KnownFor != c.want {
			t.Errorf("%v became %+v, %v", c.known, got, err)
		}
	}
}

// TestHistoryOfThePreviousBuild decodes a history without the times since when versions are known.
func TestHistoryOfThePreviousBuild(t *testing.T) {
	payload, err := encode(&previousVersions{Complete: 5, Versions: []previousVersion{{Service: "s", Version: 7, LeftFor: 300}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeVersions(payload)
	want := routing.UsedVersion{Service: "s", Version: 7, LeftFor: 300 * time.Millisecond}
	if err != nil || len(got.Versions) != 1 || got.Versions[0] != want {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestOtherTagsOfVersionsAreIgnored decodes times with a tag that is outside the range.
func TestOtherTagsOfVersionsAreIgnored(t *testing.T) {
	for _, tag := range []uint64{100, eraTag + 1, knownTag, knownTag - 1, knownTag + uint64(maxKnownFor.Milliseconds()) + 1, 1<<64 - 1} {
		payload, err := cbor.Marshal(cbor.Tag{Number: tag, Content: uint64(5)})
		if err != nil {
			t.Fatal(err)
		}
		var got leftForMessage
		if err := cbor.Unmarshal(payload, &got); err != nil || got != (leftForMessage{LeftFor: 5}) {
			t.Errorf("tag %d: %+v, %v", tag, got, err)
		}
	}
}

// TestBytesOfHistories measures what the times cost: nothing for versions that are not told of, some bytes for others.
func TestBytesOfHistories(t *testing.T) {
	size := func(known time.Duration) int {
		payload, err := EncodeVersions(&routing.VersionReport{Versions: []routing.UsedVersion{{Service: "s", Version: 1 << 30, KnownFor: known}}})
		if err != nil {
			t.Fatal(err)
		}
		return len(payload)
	}
	plain, told := size(0), size(time.Second)
	t.Logf("%d bytes for a version, %d more with the time", plain, told-plain)
	if told-plain > 5 {
		t.Errorf("%d bytes for the time, at most 5 are expected", told-plain)
	}
}
