package routes

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
)

// TestVersionThatCameAndWentUnseen guards against a daemon that goes on with streams at the only version that it knows, although the
// entry of another one came and went within one change of its documents: other daemons held the first events of its streams
// back for 3.6 s and passed them on.
func TestVersionThatCameAndWentUnseen(t *testing.T) {
	for _, c := range []struct {
		name          string
		removal       feed.Item
		only, several bool
	}{
		{"its version is not known", feed.Item{Key: "replica-7", Revision: 12}, false, false},
		{"a peer knows its version", feed.Item{Key: "replica-7", Revision: 12, Value: []byte("version=v3")}, false, true},
		{"it had the same version", feed.Item{Key: "replica-7", Revision: 12, Value: []byte("version=v2")}, true, false},
		{"it was gone before the own documents were read", feed.Item{Key: "replica-7", Revision: 8}, true, false},
		{"another kind of document", feed.Item{Key: "config-old", Revision: 12}, true, false},
	} {
		d := newQuietControl(t)
		now := clock.Now()
		applyRelease(d, now.Add(-time.Minute))
		keepUpToDate(d, now.Add(-time.Minute), now)
		if !onlyVersion(d) {
			t.Fatal("does not know of one version")
		}
		c.removal.Deleted = true
		d.apply(d.catalog.feed.Apply([]feed.Item{c.removal}), sourceStore, now)
		if got := onlyVersion(d); got != c.only {
			t.Errorf("%s: knows of one version: %t, want %t", c.name, got, c.only)
		}
		if got := d.view.Load().HasSeveralVersions("s"); got != c.several {
			t.Errorf("%s: knows of several versions: %t, want %t", c.name, got, c.several)
		}
	}
}

// TestRemovalsOfTheFirstDocuments guards against a history of versions that begins anew by removals that a daemon is sent with its
// first documents.
func TestRemovalsOfTheFirstDocuments(t *testing.T) {
	c := newQuietControl(t)
	now := clock.Now()
	items := []feed.Item{{Key: "config", Revision: 1}, {Key: "replica-2", Value: []byte("version=v2"), Revision: 9}, {Key: "replica-7", Revision: 8, Deleted: true}}
	c.apply(c.catalog.feed.ApplyChanges(items, 9), "peer", now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now)
	if !onlyVersion(c) {
		t.Error("does not know of one version")
	}
}
