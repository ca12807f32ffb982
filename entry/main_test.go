package entry_test

import (
	"flag"
	"os"
	"testing"
)

// defaultRapidChecks is the number of random cases of each property test, unless the
// flag -rapid.checks is set.
const defaultRapidChecks = "3000"

func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", defaultRapidChecks)
	}
	os.Exit(m.Run())
}
