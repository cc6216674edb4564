// Package testseed fixes the seed of property tests, so that every run gives the
// same result.
package testseed

import (
	"flag"
	"strconv"
	"testing"
)

// Checks is the default number of random runs of a property.
const Checks = 100

// Main runs a package's tests, with the given number of random runs of each property,
// and returns the exit code. Call it from TestMain. Flags on the command line override
// the seed and the number of runs.
func Main(m *testing.M, checks int) int {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks)} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
