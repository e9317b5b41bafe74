package router

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/feed"
	"hingewinch.org/hingewinch/membership"
	"hingewinch.org/hingewinch/routing"
)

// TestPauseEndsTheWait plays a process that stood still for some seconds: the
// wait that it had begun before is given up, and the log says so.
func TestPauseEndsTheWait(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, "info", "d", NewMetrics())
	c := &control{
		feed: feed.New(), roster: membership.NewRoster(membership.Member{Address: "a:1"}, nil), rng: rand.New(rand.NewPCG(1, 1)),
		loads: routing.NewLoads(), health: routing.NewHealth(), holders: routing.NewHolders(),
		budgets: routing.NewBudgets(routing.BudgetRule{Window: time.Second}, 1), log: l, daemons: 1,
		lapses: routing.NewLapses(),
	}
	begun := time.Unix(1_000_000, 0)
	c.tick(context.Background(), begun)
	plan := c.reads.Load()
	c.tick(context.Background(), begun.Add(beatInterval))
	if c.reads.Load() != plan {
		t.Fatal("the plan changed although nothing happened")
	}
	c.tick(context.Background(), begun.Add(5*time.Second))
	select {
	case <-plan.ended:
	default:
		t.Fatal("the wait goes on after a pause")
	}
	l.Close()
	if !strings.Contains(out.String(), "stood still") {
		t.Fatalf("log says nothing: %s", out.String())
	}
}

// TestLogIsBoundedAndNeverBlocks writes far more than the buffer holds to a
// writer that takes nothing.
func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	l := NewLog(blocked{release}, "info", "d", NewMetrics())
	done := make(chan struct{})
	go func() {
		for range 20_000 {
			l.Replica("i", "ready", 1)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks")
	}
	if l.writer.droppedTotal() == 0 {
		t.Fatal("nothing was left out, so the log has no bound")
	}
	close(release)
	l.Close()
}

// blocked is a writer that takes nothing until it is released.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}
