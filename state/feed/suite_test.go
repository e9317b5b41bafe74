package feed_test

import (
	"testing"

	"hingewinch.org/hingewinch/internal/spec"
)

func init() { spec.FixRapid() }

func TestSuite(t *testing.T) { spec.Run(t, "feed") }
