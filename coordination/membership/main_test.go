package membership_test

import (
	"os"
	"testing"

	"catkinrail.example/catkinrail/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	os.Exit(testseed.Main(m, testseed.Checks))
}
