// Package spec runs the ginkgo specs of a package with fixed seeds, so that every run
// has the same result.
//
// # Usage
//
//	func TestSuite(t *testing.T) { spec.Run(t, "routing") }
//
// A package that uses rapid also fixes rapid's seed. The flag -rapid.seed on the command
// line still takes precedence:
//
//	func init() { spec.FixRapid() }
package spec

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed is the random seed of ginkgo.
const seed = 1

// Run runs the specs of the package under test.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// FixRapid fixes the seed of rapid. It must be called before the flags are parsed.
func FixRapid() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic("package under test does not import rapid: " + err.Error())
	}
}
