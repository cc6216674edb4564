package route_test

import (
	"os"
	"testing"

	"catkinrail.example/catkinrail/testseed"
)

// TestMain fixes the seed of the property tests and limits them to 20 runs, which take
// about a second each.
func TestMain(m *testing.M) {
	os.Exit(testseed.Main(m, 20))
}
