package fleet_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/internal/spec"
)

func init() { spec.FixRapid() }

func TestSuite(t *testing.T) { spec.Run(t, "fleet") }

// epoch is the start time of the tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
