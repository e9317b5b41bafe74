package soak

import (
	"testing"
	"time"
)

// TestCheckRegress covers changes that a process must have received: it may not
// revert them after a disturbance of the store.
func TestCheckRegress(t *testing.T) {
	removed := func(s *scene) {
		s.KeyAdded("k", "w", at(10))
		s.KeyRemoved("k", at(80))
	}
	trouble := func(s *scene) { s.DisturbStore(at(95), at(99.9)) }
	for _, c := range []struct {
		name, want string
		play       func(s *scene)
	}{
		{"a key that was revoked long before", "CONFIG", func(s *scene) {
			removed(s)
			trouble(s)
			s.send().run("r1", 100.1)
		}},
		{"the same by a process that started later", "", func(s *scene) {
			removed(s)
			trouble(s)
			s.Begins(0, 1, at(90))
			s.send().run("r1", 100.1)
		}},
		{"the same by the previous build", "", func(s *scene) {
			removed(s)
			trouble(s)
			s.Runs(0, 1, BuildPrevious)
			s.send().run("r1", 100.1)
		}},
		{"a key that was revoked while the store was disturbed", "", func(s *scene) {
			removed(s)
			trouble(s)
			s.DisturbStore(at(81), at(81.5))
			s.send().run("r1", 100.1)
		}},
		{"a replica that left long before", "DRAIN", func(s *scene) {
			s.Departed("r1", at(80))
			trouble(s)
			s.send().run("r1", 100.1)
		}},
		{"one that returned", "", func(s *scene) {
			s.Departed("r1", at(80))
			s.Returned("r1", at(99))
			trouble(s)
			s.send().run("r1", 100.1)
		}},
		{"one that left while the daemon was disturbed", "", func(s *scene) {
			s.Departed("r1", at(80))
			trouble(s)
			s.DisturbDaemon(0, at(78), at(79))
			s.send().run("r1", 100.1)
		}},
		{"a key that was revoked after the store was restored, by the previous build", "", func(s *scene) {
			removed(s)
			s.Restored(at(70))
			s.Runs(0, 1, BuildPrevious)
			s.send().run("r1", 100.1)
		}},
		{"the same by the current build", "CONFIG", func(s *scene) {
			removed(s)
			s.Restored(at(70))
			s.send().run("r1", 100.1)
		}},
		{"the same by the previous build, and the store was not restored", "CONFIG", func(s *scene) {
			removed(s)
			s.Runs(0, 1, BuildPrevious)
			s.send().run("r1", 100.1)
		}},
		{"a key that was added long before", "CONFIG", func(s *scene) {
			s.KeyAdded("k", "w", at(80))
			trouble(s)
			s.send().answer(Answer{Status: 401})
		}},
		{"one that was added just before", "", func(s *scene) {
			s.KeyAdded("k", "w", at(98))
			trouble(s)
			s.send().answer(Answer{Status: 401})
		}},
	} {
		s := newScene(routes[0])
		s.q.Incarnation = 1
		s.Begins(0, 1, at(50))
		c.play(s)
		found := s.Check(at(100.5))
		switch {
		case c.want == "" && len(found) > 0:
			t.Errorf("%s: %s %s", c.name, found[0].Promise, found[0].Detail)
		case c.want != "" && (len(found) != 1 || found[0].Promise != c.want):
			t.Errorf("%s: found %v, want %s", c.name, found, c.want)
		}
	}
}

// TestRestoresKeepOtherFaultsOfSeed checks that recorded seeds can still be reproduced.
func TestRestoresKeepOtherFaultsOfSeed(t *testing.T) {
	shape := DefaultShape()
	with := NewPlan(5, shape)
	shape.RestoresPerSec = 0
	without := NewPlan(5, shape)
	var others []Fault
	for _, f := range with.Faults {
		if f.Kind != restoreStore {
			others = append(others, f)
		}
	}
	if len(others) != len(without.Faults) || len(others) == len(with.Faults) {
		t.Fatalf("%d faults besides restores, %d in the plan without them, %d in total", len(others), len(without.Faults), len(with.Faults))
	}
	for i := range others {
		if others[i] != without.Faults[i] {
			t.Errorf("fault %d differs", i)
		}
	}
}

// TestBackupSelection checks the selection of backups by age, and that old ones are dropped.
func TestBackupSelection(t *testing.T) {
	s := newSite(newLedger(defaultBounds()))
	var c backups
	for i := range 100 {
		s.store.Put("k", []byte{byte(i)})
		c.add(backup{at(float64(i) / 4), s.store.Backup()})
	}
	if first := c.list[0].at; at(99.0/4).Sub(first) > maxBackupAge {
		t.Errorf("the oldest backup is from %v", first)
	}
	now := at(99.0 / 4)
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second} {
		s.store.Restore(c.atLeastAsOldAs(age, now))
		if got, want := s.store.Put("k", nil), uint64(101-age/backupInterval); got != want {
			t.Errorf("backup with age %v: the next revision is %d, want %d", age, got, want)
		}
	}
}
