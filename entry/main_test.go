package entry_test

import (
	"flag"
	"os"
	"testing"
)

// sequences is the number of random sequences for each property.
const sequences = "3000"

func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", sequences)
	}
	os.Exit(m.Run())
}
