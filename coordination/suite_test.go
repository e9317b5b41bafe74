package coordination_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/internal/spec"
)

func TestCoordination(t *testing.T) { spec.Run(t, "coordination") }

// epoch is the time at which tests begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
