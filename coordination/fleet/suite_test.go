package fleet_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rapid draws from a fixed seed, so that each run has the same verdict; the flag
// -rapid.seed on the command line still takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "fleet", suite, reporter)
}

// epoch is the time at which tests begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
