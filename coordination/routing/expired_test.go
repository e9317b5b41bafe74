package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestExpiredEntries(t *testing.T) {
	type vanishing struct {
		after   time.Duration
		trouble bool
	}
	at := func(after time.Duration, trouble bool, n int) []vanishing {
		out := make([]vanishing, n)
		for i := range out {
			out[i] = vanishing{after: after, trouble: trouble}
		}
		return out
	}
	for _, c := range []struct {
		name   string
		gone   []vanishing
		left   int
		asked  time.Duration // when the pool is built
		usedOn int
	}{
		{"most lapse in the store's trouble", at(0, true, 3), 1, time.Second, 3},
		{"most are still missing when they should be back", at(0, true, 3), 1, gracePeriod, 0},
		{"most leave while the store is well", at(0, false, 3), 1, time.Second, 0},
		{"as many lapse as are left", at(0, true, 2), 2, time.Second, 0},
		{"one after the other", append(at(0, true, 1), at(1500*time.Millisecond, true, 1)...), 1, 1600 * time.Millisecond, 0},
		{"all lapse", at(0, true, 2), 0, time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			epoch := time.Unix(1000, 0)
			l := NewExpiredEntries()
			for i, v := range c.gone {
				l.Add(NewReplica(Replica{ID: ReplicaID(fmt.Sprint(i)), Service: "s"}), v.trouble, epoch.Add(v.after))
			}
			p := &Pool{Ready: make([]Replica, c.left)}
			got := l.Restore("s", p, epoch.Add(c.asked))
			if len(got) != c.usedOn || len(p.Ready) != c.left+c.usedOn {
				t.Errorf("used on %d, pool of %d; want %d and %d", len(got), len(p.Ready), c.usedOn, c.left+c.usedOn)
			}
		})
	}
}

func TestGracePeriodEndsByItself(t *testing.T) {
	epoch := time.Unix(1000, 0)
	l := NewExpiredEntries()
	for i := range 3 {
		l.Add(NewReplica(Replica{ID: ReplicaID(fmt.Sprint(i)), Service: "s"}), true, epoch)
	}
	l.Remove("0")
	if l.Expire(epoch.Add(gracePeriod - 1)) {
		t.Error("decided before they could be back")
	}
	if !l.Expire(epoch.Add(gracePeriod)) {
		t.Error("the pools are not built anew when the missing ones are gone")
	}
	if l.Expire(epoch.Add(gracePeriod)) {
		t.Error("the pools are built anew again and again")
	}
	p := &Pool{}
	if l.Restore("s", p, epoch.Add(gracePeriod)); len(p.Expired) != 2 || len(p.Ready) != 0 {
		t.Errorf("%d sources of copies and %d ready, want 2 and 0", len(p.Expired), len(p.Ready))
	}
	l.Expire(epoch.Add(copySourceAge))
	if n := len(l.entries); n != 0 {
		t.Errorf("%d replicas are remembered for ever", n)
	}
}
