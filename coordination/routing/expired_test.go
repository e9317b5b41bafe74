package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestExpiredEntries(t *testing.T) {
	type expiry struct {
		after  time.Duration
		outage bool
	}
	at := func(after time.Duration, outage bool, n int) []expiry {
		out := make([]expiry, n)
		for i := range out {
			out[i] = expiry{after: after, outage: outage}
		}
		return out
	}
	for _, c := range []struct {
		name    string
		expired []expiry
		left    int
		builtAt time.Duration // when the pool is built
		kept    int
	}{
		{"most expire during a store outage", at(0, true, 3), 1, time.Second, 3},
		{"most are still missing after the grace period", at(0, true, 3), 1, gracePeriod, 0},
		{"most leave while the store is available", at(0, false, 3), 1, time.Second, 0},
		{"as many expire as are left", at(0, true, 2), 2, time.Second, 0},
		{"expired one after the other", append(at(0, true, 1), at(1500*time.Millisecond, true, 1)...), 1, 1600 * time.Millisecond, 0},
		{"all expire", at(0, true, 2), 0, time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			epoch := time.Unix(1000, 0)
			l := NewExpiredEntries()
			for i, v := range c.expired {
				l.Add(NewReplica(Replica{ID: ReplicaID(fmt.Sprint(i)), Service: "s"}), v.outage, epoch.Add(v.after))
			}
			p := &Pool{Ready: make([]Replica, c.left)}
			got := l.Restore("s", p, epoch.Add(c.builtAt))
			if len(got) != c.kept || len(p.Ready) != c.left+c.kept {
				t.Errorf("%d kept in use, pool of %d; want %d and %d", len(got), len(p.Ready), c.kept, c.left+c.kept)
			}
		})
	}
}

func TestGracePeriodEnds(t *testing.T) {
	epoch := time.Unix(1000, 0)
	l := NewExpiredEntries()
	for i := range 3 {
		l.Add(NewReplica(Replica{ID: ReplicaID(fmt.Sprint(i)), Service: "s"}), true, epoch)
	}
	l.Remove("0")
	if l.Expire(epoch.Add(gracePeriod - 1)) {
		t.Error("grace period ended early")
	}
	if !l.Expire(epoch.Add(gracePeriod)) {
		t.Error("the pools are not rebuilt at the end of the grace period")
	}
	if l.Expire(epoch.Add(gracePeriod)) {
		t.Error("the pools are rebuilt more than once")
	}
	p := &Pool{}
	if l.Restore("s", p, epoch.Add(gracePeriod)); len(p.Expired) != 2 || len(p.Ready) != 0 {
		t.Errorf("%d copy sources and %d ready replicas, want 2 and 0", len(p.Expired), len(p.Ready))
	}
	l.Expire(epoch.Add(copySourceAge))
	if n := len(l.entries); n != 0 {
		t.Errorf("%d expired replicas are never dropped", n)
	}
}
