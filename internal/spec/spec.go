// Package spec runs the ginkgo cases of a package with fixed seeds, so that each run
// has the same verdict.
//
// # Usage
//
//	func TestSuite(t *testing.T) { spec.Run(t, "routing") }
//
// A package that uses rapid fixes its seed too; the flag -rapid.seed on the command
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

// seed is that of all random draws of tests.
const seed = 1

// Run runs the cases of the package under test.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// FixRapid fixes the seed of rapid. It is called before the flags are parsed.
func FixRapid() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic("rapid is not used in this package: " + err.Error())
	}
}
