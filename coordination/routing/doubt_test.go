package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// TestBrokenLinksCostOneRequestADomain plays the first second and a half of a failure domain
// that is cut off by resets, until which no heartbeat is missed: a daemon sends four requests
// a second to the domain, over connections that were idle when the links broke. Each that
// goes out on one is lost, since it may have run.
func TestBrokenLinksCostOneRequestADomain(t *testing.T) {
	const replicas, requests = 28, 6
	for _, c := range []struct {
		name   string
		lost   int
		doubts bool
	}{{"without doubts", requests, false}, {"with doubts", 1, true}} {
		var l routing.LinkDoubts
		idleSince := make([]time.Time, replicas)
		for i := range idleSince {
			idleSince[i] = epoch.Add(-time.Duration(i) * 50 * time.Millisecond)
		}
		lost := 0
		for i := range requests {
			now := epoch.Add(time.Duration(i+1) * 250 * time.Millisecond)
			if !l.Trusts("z1", idleSince[i]) {
				continue // a new connection fails, and the request goes elsewhere
			}
			lost++
			if c.doubts {
				l.Broke("z1", now)
			}
		}
		if lost != c.lost {
			t.Errorf("%s: %d requests lost, want %d", c.name, lost, c.lost)
		}
	}
}

func TestLinkDoubts(t *testing.T) {
	var l routing.LinkDoubts
	l.Broke("z1", epoch)
	for _, c := range []struct {
		name   string
		domain state.FailureDomain
		idle   time.Duration // since this long after the break
		trusts bool
	}{
		{"idle before", "z1", -time.Second, false},
		{"idle at that moment", "z1", 0, false},
		{"opened since", "z1", time.Millisecond, true},
		{"of another domain", "z2", -time.Second, true},
	} {
		if got := l.Trusts(c.domain, epoch.Add(c.idle)); got != c.trusts {
			t.Errorf("%s: trusts %t, want %t", c.name, got, c.trusts)
		}
	}
}
