package coordination_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// memoryStep is a sample and what the watch says of it.
type memoryStep struct {
	after time.Duration // since the sample before
	held  uint64        // bytes
	want  coordination.MemoryChange
}

// TestMemoryNearItsLimit guards against a daemon that is killed for its memory without having said that it comes near
// the limit, and against one that says so at each sample or each collection of garbage.
func TestMemoryNearItsLimit(t *testing.T) {
	const limit, tick = 1000, 200 * time.Millisecond
	for name, steps := range map[string][]memoryStep{
		"far from it": {{tick, 100, coordination.MemoryUnchanged}, {tick, 849, coordination.MemoryUnchanged}},
		"near it once, then far": {
			{tick, 850, coordination.MemoryNear}, {tick, 990, coordination.MemoryUnchanged}, {tick, 500, coordination.MemoryUnchanged},
			{4 * time.Second, 500, coordination.MemoryUnchanged}, {time.Second, 500, coordination.MemoryFar}, {tick, 500, coordination.MemoryUnchanged},
		},
		"it falls and rises with each collection": {
			{tick, 900, coordination.MemoryNear}, {tick, 600, coordination.MemoryUnchanged}, {3 * time.Second, 900, coordination.MemoryUnchanged},
			{tick, 600, coordination.MemoryUnchanged}, {3 * time.Second, 820, coordination.MemoryUnchanged}, {tick, 600, coordination.MemoryUnchanged},
			{3 * time.Second, 600, coordination.MemoryUnchanged}, {2 * time.Second, 600, coordination.MemoryFar}, {tick, 850, coordination.MemoryNear},
		},
		"it stays a little below": {{tick, 860, coordination.MemoryNear}, {tick, 830, coordination.MemoryUnchanged}, {time.Minute, 830, coordination.MemoryUnchanged}},
	} {
		w := coordination.NewMemoryWatch(limit)
		now, most := time.Unix(1_000_000, 0), uint64(0)
		for i, s := range steps {
			now, most = now.Add(s.after), max(most, s.held)
			if got := w.Observe(s.held, now); got != s.want {
				t.Errorf("%s, sample %d of %d: %v, want %v", name, i, s.held, got, s.want)
			}
			if w.Max() != most {
				t.Errorf("%s, sample %d: largest %d, want %d", name, i, w.Max(), most)
			}
		}
	}
}

// TestMemoryWithoutLimit guards against a division of nothing: a settings file need not give a limit.
func TestMemoryWithoutLimit(t *testing.T) {
	w := coordination.NewMemoryWatch(0)
	if got := w.Observe(1<<40, time.Unix(1, 0)); got != coordination.MemoryUnchanged || w.Max() != 1<<40 {
		t.Errorf("got %v, largest %d", got, w.Max())
	}
}

// TestMemorySpell checks what the end of a spell reports.
func TestMemorySpell(t *testing.T) {
	w := coordination.NewMemoryWatch(1000)
	begun := time.Unix(1_000_000, 0)
	w.Observe(990, begun.Add(-time.Hour))
	w.Observe(100, begun.Add(-time.Minute))
	w.Observe(100, begun.Add(-time.Second))
	w.Observe(900, begun)
	w.Observe(950, begun.Add(time.Second))
	w.Observe(100, begun.Add(2*time.Second))
	if w.Observe(100, begun.Add(7*time.Second)) != coordination.MemoryFar {
		t.Fatal("the spell has not ended")
	}
	if most, lasted := w.Spell(begun.Add(7 * time.Second)); most != 950 || lasted != 7*time.Second {
		t.Errorf("largest %d in %s, want 950 in 7s", most, lasted)
	}
}
