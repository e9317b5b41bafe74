package routing_test

import (
	"fmt"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestStreamOrigins guards against a stream that goes on although it is not certain where it began, and
// against origins that are lost before their callers give up.
func TestStreamOrigins(t *testing.T) {
	key, v1, v2 := routing.NewStreamKey("w", "a"), versionKey("s", "v1"), versionKey("s", "v2")
	record := func(s routing.StreamKey, v routing.VersionKey, left time.Duration) routing.StreamOrigin {
		return routing.NewStreamOrigin(s, v, left)
	}
	for _, c := range []struct {
		name    string
		records []routing.StreamOrigin
		asked   routing.StreamKey
		after   time.Duration
		known   bool
	}{
		{"recorded", []routing.StreamOrigin{record(key, v1, time.Second)}, key, 0, true},
		{"recorded twice", []routing.StreamOrigin{record(key, v1, 0), record(key, v1, 0)}, key, 0, true},
		{"recorded with two versions", []routing.StreamOrigin{record(key, v1, 0), record(key, v2, 0)}, key, 0, false},
		{"and with the first one again", []routing.StreamOrigin{record(key, v1, 0), record(key, v2, 0), record(key, v1, 0)}, key, 0, false},
		{"of another request", []routing.StreamOrigin{record(key, v1, 0)}, routing.NewStreamKey("w", "b"), 0, false},
		{"of another workspace", []routing.StreamOrigin{record(key, v1, 0)}, routing.NewStreamKey("v", "a"), 0, false},
		{"without a request", []routing.StreamOrigin{record(routing.NewStreamKey("w", ""), v1, 0)}, routing.NewStreamKey("w", ""), 0, false},
		{"at a replica that names no version", []routing.StreamOrigin{record(key, versionKey("s", ""), 0)}, key, 0, false},
		{"while the caller may wait", []routing.StreamOrigin{record(key, v1, 8*time.Second)}, key, 20 * time.Second, true},
		{"long after", []routing.StreamOrigin{record(key, v1, 8*time.Second)}, key, time.Minute, false},
		{"resumed meanwhile", []routing.StreamOrigin{record(key, v1, 8*time.Second), record(key, v1, 40*time.Second)}, key, time.Minute, true},
		{"for far too long", []routing.StreamOrigin{record(key, v1, 1000*time.Hour)}, key, time.Hour, false},
	} {
		origins := routing.NewStreamOrigins()
		for _, r := range c.records {
			origins.Observe(r, epoch)
		}
		v, known := origins.Find(c.asked, epoch.Add(c.after))
		if known != c.known || known && v != v1 {
			t.Errorf("%s: known %t at %d, want %t", c.name, known, v, c.known)
		}
	}
}

// TestStreamOriginsAreBounded guards against a daemon whose memory grows with the streams of others.
func TestStreamOriginsAreBounded(t *testing.T) {
	const most = 50_000
	origins, v1 := routing.NewStreamOrigins(), versionKey("s", "v1")
	for i := range most + 10 {
		origins.Observe(routing.NewStreamOrigin(routing.StreamKey(i+1), v1, 0), epoch)
	}
	if n := origins.Len(); n != most {
		t.Errorf("%d origins are kept, want %d", n, most)
	}
	origins.Forget(epoch.Add(time.Minute))
	if n := origins.Len(); n != 0 {
		t.Errorf("%d origins are kept after their time, want none", n)
	}
}

// TestVersionHistory guards against a service that counts as one of a single version while streams that
// began at another may still be resumed.
func TestVersionHistory(t *testing.T) {
	replica := func(s routing.ServiceName, v routing.SoftwareVersion) *routing.Replica {
		r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(s, v)), Service: s, Version: v})
		return &r
	}
	h := routing.NewVersionHistory()
	h.Add(replica("s", "v1"))
	h.Add(replica("s", "v1"))
	h.Add(replica("t", "v2"))
	expect := func(after time.Duration, want bool) {
		t.Helper()
		view := &routing.View{Versions: h.Only(epoch.Add(after))}
		if several := view.HasSeveralVersions("s"); several != want || view.HasSeveralVersions("t") {
			t.Errorf("after %v services have several versions: %v, want s: %t", after, view.Versions, want)
		}
	}
	expect(0, false)
	h.Add(replica("s", "v2"))
	expect(0, true)
	h.Remove(replica("s", "v1"), epoch)
	expect(0, true)
	h.Remove(replica("s", "v1"), epoch.Add(time.Second))
	expect(2*time.Minute, true)
	expect(2*time.Minute+2*time.Second, false)
	h.Add(replica("s", ""))
	expect(3*time.Minute, true)
}
