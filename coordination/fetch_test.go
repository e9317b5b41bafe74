package coordination

import (
	"errors"
	"testing"
	"time"
)

// TestRateOfBodies plays bodies in virtual time. It guards against a body of a few bytes that holds a fetch, and against
// one that is given up though it arrives steadily.
func TestRateOfBodies(t *testing.T) {
	timeouts := &FetchTimeouts{Idle: 600 * time.Millisecond, Grace: 2 * time.Second, MinRate: 16 << 10}
	for _, c := range []struct {
		name  string
		piece int           // bytes
		gap   time.Duration // between pieces
		size  int           // bytes
		want  error         // nil: it arrives
		most  time.Duration // until it is given up
	}{
		{"a byte each 200 ms", 1, 200 * time.Millisecond, 1 << 20, ErrSlow, 2200 * time.Millisecond},
		{"half the rate", 4 << 10, 500 * time.Millisecond, 1 << 20, ErrSlow, 5 * time.Second},
		{"the rate, 16 MB", 8 << 10, 500 * time.Millisecond, 16 << 20, nil, 0},
		{"a slow link, 16 MB", 1500, 15 * time.Millisecond, 16 << 20, nil, 0},
		{"a small body in pieces", 10, 100 * time.Millisecond, 150, nil, 0},
		{"nothing for a second", 1 << 20, time.Second, 4 << 20, ErrSilent, 600 * time.Millisecond},
	} {
		var p FetchProgress
		var now time.Duration
		var err error
		for p.bytes < int64(c.size) && err == nil {
			left, cause := p.Next(timeouts)
			if c.gap > left {
				now, err = now+left, cause
				break
			}
			now += c.gap
			p.Add(timeouts, c.gap, c.piece)
		}
		if !errors.Is(err, c.want) || c.want != nil && now > c.most {
			t.Errorf("%s: %v after %s, want %v within %s", c.name, err, now, c.want, c.most)
		}
	}
}

// TestPausesAreNotThePeers guards against a fetch that is given up because the process was paused during a read.
func TestPausesAreNotThePeers(t *testing.T) {
	timeouts := &FetchTimeouts{Idle: 600 * time.Millisecond, Grace: 2 * time.Second, MinRate: 16 << 10}
	var p FetchProgress
	p.Add(timeouts, time.Minute, 1)
	if left, _ := p.Next(timeouts); left != timeouts.Idle {
		t.Errorf("after a pause the next read may take %s, want %s", left, timeouts.Idle)
	}
}
