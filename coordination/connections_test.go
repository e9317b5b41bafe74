package coordination

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testConn is a connection of a test.
type testConn struct {
	ClientConn
	closed bool
}

func newTestConn() *testConn {
	c := &testConn{}
	c.Close = func() { c.closed = true }
	return c
}

// TestConnectionsGiveWayInOrder guards against ordinary callers that find no place, or lose theirs, beside connections that
// bring no whole request.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewConnRoom(6, 1<<20)
	slow, idle, body, fresh, serving, quick := newTestConn(), newTestConn(), newTestConn(), newTestConn(), newTestConn(), newTestConn()
	for _, c := range []*testConn{slow, idle, body, fresh, serving, quick} {
		if !r.Open(&c.ClientConn, now) {
			t.Fatal("no place though some are free")
		}
	}
	r.Arrived(&slow.ClientConn, 10, 1, now)
	r.BeginBody(&body.ClientConn, now)
	r.Begin(&serving.ClientConn, now)
	now = now.Add(2 * time.Second)
	r.Arrived(&fresh.ClientConn, 10, 1, now)
	r.BeginBody(&quick.ClientConn, now.Add(time.Millisecond))
	for i, want := range []*testConn{slow, idle, body, fresh, quick} {
		c := newTestConn()
		if !r.Open(&c.ClientConn, now) || !want.closed {
			t.Fatalf("connection %d has no place, or the wrong one has given way", i)
		}
		r.Begin(&c.ClientConn, now)
	}
	if c := newTestConn(); r.Open(&c.ClientConn, now) || serving.closed {
		t.Error("a connection whose request is being served has given way")
	}
	r.End(&serving.ClientConn, now)
	if c := newTestConn(); !r.Open(&c.ClientConn, now) || !serving.closed {
		t.Error("an idle connection has not given way")
	}
}

// TestHeadsShareOneRoom guards against heads that fill the memory of a process, each within its limit, and against ordinary
// ones that find no room beside them.
func TestHeadsShareOneRoom(t *testing.T) {
	const room = 1 << 20
	now := time.Unix(1000, 0)
	r, dropped := NewConnRoom(10_000, room), 0
	r.Dropped = func() { dropped++ }
	var large []*testConn
	for range 500 {
		c := newTestConn()
		large = append(large, c)
		r.Open(&c.ClientConn, now)
		for range 15 {
			if !r.Arrived(&c.ClientConn, 4<<10, 1, now) {
				break
			}
		}
		now = now.Add(time.Millisecond)
	}
	if r.small+r.large > room || dropped < 480 {
		t.Errorf("heads take %d of %d, %d were dropped", r.small+r.large, room, dropped)
	}
	if !large[0].closed || large[499].closed {
		t.Error("the newest connection gave way before the oldest")
	}
	for _, c := range large {
		if !c.closed {
			r.Begin(&c.ClientConn, now) // whole: they do not give way
		}
	}
	if c := newTestConn(); !r.Open(&c.ClientConn, now) || !r.Arrived(&c.ClientConn, 12<<10, 60, now) {
		t.Error("an ordinary head has no room beside large ones")
	}
	c := newTestConn()
	r.Open(&c.ClientConn, now)
	for range 16 {
		r.Arrived(&c.ClientConn, 4<<10, 1, now)
	}
	if !c.closed {
		t.Error("a large head has room though large ones fill theirs")
	}
	for _, c := range large {
		r.End(&c.ClientConn, now)
	}
	if r.large != 0 {
		t.Errorf("heads take %d after their requests", r.large)
	}
}

// TestConnRoomCounts checks that what connections take is counted rightly, whatever they do.
func TestConnRoomCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := NewConnRoom(rapid.IntRange(1, 8).Draw(t, "conns"), int64(rapid.IntRange(0, 200_000).Draw(t, "room")))
		var conns []*testConn
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 5).Draw(t, "step")
			if step == 0 || len(conns) == 0 {
				c := newTestConn()
				conns = append(conns, c)
				r.Open(&c.ClientConn, now)
				continue
			}
			c := &conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")].ClientConn
			switch step {
			case 1:
				r.Arrived(c, rapid.IntRange(1, 70_000).Draw(t, "bytes"), rapid.IntRange(0, 500).Draw(t, "lines"), now)
			case 2:
				r.BeginBody(c, now)
			case 3:
				r.Begin(c, now)
			case 4:
				r.End(c, now)
			case 5:
				r.Closed(c)
			}
			var sum int64
			for open := range r.conns {
				sum += open.cost
			}
			if sum != r.small+r.large || r.small < 0 || r.large < 0 || r.small+r.large > r.heads || len(r.conns) > r.maxConns {
				t.Fatalf("connections take %d, counted are %d and %d of %d; %d connections of %d", sum, r.small, r.large, r.heads, len(r.conns), r.maxConns)
			}
		}
	})
}
