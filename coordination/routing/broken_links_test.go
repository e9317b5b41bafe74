package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// TestBrokenLinksCostOneRequestPerDomain simulates the first second and a half after the links to
// a failure domain were reset, before a heartbeat is missed: a daemon sends four requests a
// second to the domain, over connections that were idle when the links broke. Each request sent
// on such a connection is lost, since it may have run.
func TestBrokenLinksCostOneRequestPerDomain(t *testing.T) {
	const replicas, requests = 28, 6
	for _, c := range []struct {
		name   string
		lost   int
		tracks bool
	}{{"without tracking", requests, false}, {"with tracking", 1, true}} {
		var l routing.BrokenLinks
		idleSince := make([]time.Time, replicas)
		for i := range idleSince {
			idleSince[i] = epoch.Add(-time.Duration(i) * 50 * time.Millisecond)
		}
		lost := 0
		for i := range requests {
			now := epoch.Add(time.Duration(i+1) * 250 * time.Millisecond)
			if !l.MayReuse("z1", idleSince[i]) {
				continue // a new connection fails, and the request goes elsewhere
			}
			lost++
			if c.tracks {
				l.Record("z1", now)
			}
		}
		if lost != c.lost {
			t.Errorf("%s: %d requests lost, want %d", c.name, lost, c.lost)
		}
	}
}

func TestBrokenLinks(t *testing.T) {
	var l routing.BrokenLinks
	l.Record("z1", epoch)
	for _, c := range []struct {
		name   string
		domain state.FailureDomain
		idle   time.Duration // idle since this long after the break
		trusts bool
	}{
		{"idle before the break", "z1", -time.Second, false},
		{"idle since the break", "z1", 0, false},
		{"opened after the break", "z1", time.Millisecond, true},
		{"another domain", "z2", -time.Second, true},
	} {
		if got := l.MayReuse(c.domain, epoch.Add(c.idle)); got != c.trusts {
			t.Errorf("%s: reusable %t, want %t", c.name, got, c.trusts)
		}
	}
}
