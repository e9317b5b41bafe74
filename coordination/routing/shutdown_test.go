package routing

import (
	"fmt"
	"testing"
	"time"
)

// TestLastSend guards against requests that a daemon sends, or keeps waiting, although it ends before they can be served.
func TestLastSend(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Shutdown{End: now.Add(8 * time.Second), Keep: time.Second / 2}
	once, stream := &Route{Kind: AtMostOnce}, &Route{Kind: Stream, Resumable: true}
	for _, c := range []struct {
		name     string
		route    *Route
		deadline time.Duration
		usual    time.Duration
		want     time.Duration // -1: no limit
	}{
		{"its deadline comes first", once, 8 * time.Second, time.Minute, -1},
		{"the usual time is not known", once, 9 * time.Second, 0, 7500 * time.Millisecond},
		{"it usually takes less than is kept", once, 9 * time.Second, 30 * time.Millisecond, 7500 * time.Millisecond},
		{"it usually takes longer", once, 9 * time.Second, 3 * time.Second, 5 * time.Second},
		{"it usually takes longer than the daemon has", once, time.Minute, 10 * time.Second, -2 * time.Second},
		{"a stream that goes on elsewhere", stream, time.Minute, 10 * time.Second, 7500 * time.Millisecond},
		{"a stream that does not", &Route{Kind: Stream}, time.Minute, 3 * time.Second, 5 * time.Second},
	} {
		at, limited := s.LastSend(&Request{Route: c.route, Deadline: now.Add(c.deadline)}, c.usual)
		if limited != (c.want != -1) || limited && !at.Equal(now.Add(c.want)) {
			t.Errorf("%s: until %v (%t), want %v", c.name, at.Sub(now), limited, c.want)
		}
	}
}

func TestRouteTimes(t *testing.T) {
	now, times := time.Unix(1000, 0), NewRouteTimes()
	fast, slow := &Route{Name: "fast"}, &Route{Name: "slow"}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		times.Record(fast, 20*time.Millisecond, now)
		times.Record(slow, 3*time.Second, now)
	}
	if f, s := times.Usual(fast), times.Usual(slow); f.Round(time.Millisecond) != 20*time.Millisecond || s.Round(time.Millisecond) != 3*time.Second {
		t.Errorf("usual times are %v and %v", f, s)
	}
	if u := times.Usual(&Route{Name: "new"}); u != 0 {
		t.Errorf("the usual time of an unknown route is %v", u)
	}
	for i := range 2 * maxTimedRoutes {
		times.Record(&Route{Name: fmt.Sprint(i)}, time.Second, now)
	}
	if n := len(times.times); n > maxTimedRoutes {
		t.Errorf("%d routes are kept", n)
	}
}
