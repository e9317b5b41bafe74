package routes

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
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

// longStreamDocuments has a configuration with a route whose streams last for a time.
type longStreamDocuments struct {
	fakeDocuments
	timeout time.Duration
}

func (d longStreamDocuments) ParseConfig(feed.Item) (*routing.Table, error) {
	r := routing.Route{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Timeout: d.timeout, Shares: []routing.Share{{Service: "s", Weight: 1}}}
	return routing.NewTable(&routing.Config{Version: 7, Routes: []routing.Route{r}, Services: []routing.Service{{Name: "s"}}})
}

// TestVersionCountsForAsLongAsStreamsLast guards against a stream that lasts for longer than two minutes, and is resumed at the version
// that is left after the last entry of its own has been gone for that time.
func TestVersionCountsForAsLongAsStreamsLast(t *testing.T) {
	for _, c := range []struct {
		timeout, left time.Duration // since the last replica of version v1 left
		only          bool
	}{
		{8 * time.Minute, 3 * time.Minute, false}, {8 * time.Minute, 9 * time.Minute, true},
		{30 * time.Second, time.Minute, false}, {30 * time.Second, 3 * time.Minute, true},
	} {
		d := newQuietControl(t)
		d.catalog = newCatalog(longStreamDocuments{timeout: c.timeout}, d.log)
		now := clock.Now()
		begun := now.Add(-20 * time.Minute)
		applyEntries(d, 5, begun, map[string]string{"replica-1": "version=v1", "replica-2": "version=v2"})
		keepUpToDate(d, begun, now.Add(-c.left))
		d.apply(d.catalog.feed.Apply([]feed.Item{{Key: "replica-1", Revision: 9, Deleted: true}}), sourceStore, now.Add(-c.left))
		keepUpToDate(d, now.Add(-c.left), now)
		d.publish(now)
		if got := onlyVersion(d); got != c.only {
			t.Errorf("streams last for %v, and the other version left %v ago: knows of one version: %t, want %t", c.timeout, c.left, got, c.only)
		}
	}
}
