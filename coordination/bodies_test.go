package coordination_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination"
)

const mb = 1 << 20

// TestLargeBodiesLeaveRoom guards against large bodies of callers that take the memory of a daemon, or all the room, so that
// small requests are refused. The load is 40 bodies of 4 MB at once.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	r := coordination.NewBodyRoom(48 * mb)
	now := time.Now()
	large := make([]coordination.Body, 40)
	taken := 0
	for i := range large {
		if r.Take(&large[i], 4*mb, now) {
			taken++
		}
	}
	if taken != 10 || r.Held() != 40*mb {
		t.Errorf("%d of 40 bodies of 4 MB fit, %d bytes are held; want 10", taken, r.Held())
	}
	small := make([]coordination.Body, 4000)
	for i := range small {
		if !r.Take(&small[i], 2<<10, now) {
			t.Fatalf("small body %d does not fit", i)
		}
	}
	for i := range large {
		r.Release(&large[i])
	}
	for i := range small {
		r.Release(&small[i])
	}
	if r.Held() != 0 {
		t.Errorf("%d bytes are held at the end", r.Held())
	}
}

// TestLargestBodyFits guards against a body that the configuration allows and that never fits.
func TestLargestBodyFits(t *testing.T) {
	r := coordination.NewBodyRoom(48 * mb)
	var largest, next, small coordination.Body
	now := time.Now()
	if !r.Take(&largest, 100*mb, now) {
		t.Error("the only large body does not fit")
	}
	if r.Take(&next, 1*mb, now) {
		t.Error("a second one fits beside it")
	}
	if !r.Take(&small, 64<<10, now) {
		t.Error("a small one does not fit beside it")
	}
}

// TestStalledBodiesGiveWay guards against callers that announce large bodies, send nothing and so hold the room.
func TestStalledBodiesGiveWay(t *testing.T) {
	r := coordination.NewBodyRoom(48 * mb)
	now := time.Now()
	stopped := 0
	bodies := make([]coordination.Body, 10)
	for i := range bodies {
		bodies[i].Stop = func() { stopped++ }
		if !r.Take(&bodies[i], 4*mb, now) {
			t.Fatalf("body %d does not fit", i)
		}
	}
	if !r.Whole(&bodies[0]) {
		t.Error("a whole body gave way")
	}
	now = now.Add(2 * time.Second)
	r.Arrived(&bodies[1], now)
	var next coordination.Body
	if r.Take(&next, 8*mb, now) || stopped != 0 {
		t.Errorf("%d bodies gave way before it is known that the process was not paused", stopped)
	}
	now = now.Add(coordination.PauseSlack)
	if !r.Take(&next, 8*mb, now) || stopped != 2 {
		t.Errorf("%d stalled bodies gave way, want 2", stopped)
	}
	var huge coordination.Body
	if r.Take(&huge, 38*mb, now) || stopped != 2 {
		t.Errorf("%d bodies gave way to one that does not fit", stopped-2)
	}
	for i := range bodies {
		gone := r.GaveWay(&bodies[i])
		if gone && (i < 2 || r.Whole(&bodies[i]) || r.Take(&bodies[i], 5*mb, now)) {
			t.Errorf("body %d gave way, and goes on", i)
		}
		r.Release(&bodies[i])
	}
	r.Release(&next)
	if r.Held() != 0 {
		t.Errorf("%d bytes are held at the end", r.Held())
	}
}

// TestBodiesStayWithinTheRoom guards against a sequence of requests that holds more than the room and the share of small
// bodies, or that leaves some of it taken.
func TestBodiesStayWithinTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const room = 6 * mb
		r := coordination.NewBodyRoom(room)
		now := time.Now()
		bodies := make([]coordination.Body, 200)
		for i := range bodies {
			bodies[i].Stop = func() {}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			b := &bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "body")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				r.Take(b, rapid.Int64Range(0, 2*mb).Draw(t, "size"), now)
			case 2:
				r.Whole(b)
			case 3:
				r.Release(b)
			case 4:
				now = now.Add(700 * time.Millisecond)
			}
			if held := r.Held(); held < 0 || held > room+room/6 {
				t.Fatalf("%d bytes are held of %d", held, room)
			}
		}
		for i := range bodies {
			r.Release(&bodies[i])
		}
		if r.Held() != 0 {
			t.Fatalf("%d bytes are held at the end", r.Held())
		}
	})
}
