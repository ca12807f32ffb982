package configuration_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for rapid, so that runs are reproducible. The flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}
