package coordination_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCoordination(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "coordination", suite, reporter)
}

// epoch is the time at which tests begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
