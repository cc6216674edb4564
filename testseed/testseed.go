// Package testseed fixes the seed of property tests, so that every run gives the
// same verdict.
package testseed

import (
	"flag"
	"strconv"
	"testing"
)

// Checks is the usual number of random runs of a property.
const Checks = 100

// Main runs the tests of a package from its TestMain, with the given number of random
// runs of each property, and returns their exit code. Flags on the command line
// override the seed and the number.
func Main(m *testing.M, checks int) int {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks)} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
