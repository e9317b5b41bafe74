package soak

import (
	"reflect"
	"testing"
)

// TestUpgradesStartAtPreviousBuildAndEndAtCurrent checks the plans of many seeds.
func TestUpgradesStartAtPreviousBuildAndEndAtCurrent(t *testing.T) {
	shape := DefaultShape()
	shape.Upgrades = true
	var whole, half, back int
	for seed := range uint64(60) {
		p := NewPlan(seed, shape)
		u := p.Upgrades
		if len(u) == 0 || u[0].To != BuildCurrent || u[len(u)-1].To != BuildCurrent {
			t.Fatalf("seed %d: %+v", seed, u)
		}
		for i := range u {
			if u[i].Count < 1 || u[i].Count > p.Daemons || i > 0 && u[i].At <= u[i-1].At {
				t.Errorf("seed %d: upgrade %d is %+v of %d daemons", seed, i, u[i], p.Daemons)
			}
		}
		if u[0].Count == p.Daemons {
			whole++
		} else {
			half++
		}
		if len(u) == 3 && u[1].To == BuildPrevious {
			back++
		}
	}
	if whole < 15 || half < 15 || back < 20 {
		t.Errorf("%d whole, %d half and %d with a downgrade, of 60", whole, half, back)
	}
}

// TestUpgradesKeepFaultsOfSeed checks that a seed's faults are the same with and without
// upgrades.
func TestUpgradesKeepFaultsOfSeed(t *testing.T) {
	shape := DefaultShape()
	before := NewPlan(7, shape)
	shape.Upgrades = true
	if after := NewPlan(7, shape); !reflect.DeepEqual(before.Faults, after.Faults) {
		t.Error("the faults differ")
	}
}
