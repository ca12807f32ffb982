package bench_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/bench"
)

// seedCount is the number of seeds with which runAllSeeds runs a case.
const seedCount = 8

func fleets() []bench.Fleet { return []bench.Fleet{bench.Verbund(), bench.Cwrt()} }

func caseNamed(t *testing.T, f bench.Fleet, name string) bench.Case {
	t.Helper()
	for _, c := range bench.Cases(f) {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no case %q", name)
	return bench.Case{}
}

func variantNamed(t *testing.T, name string) bench.Variant {
	t.Helper()
	for _, v := range bench.Variants() {
		if v.Name == name {
			return v
		}
	}
	t.Fatalf("no variant %q", name)
	return bench.Variant{}
}

// runAllSeeds runs a case with the standard policy for both fleets and all
// seeds. It checks that no cold endpoint was overloaded and that the mean number
// of calls per called stage is at most 1.1, and calls check with each result.
func runAllSeeds(t *testing.T, name string, check func(t *testing.T, r bench.Result)) {
	t.Helper()
	for _, f := range fleets() {
		for seed := range uint64(seedCount) {
			t.Run(fmt.Sprintf("%s/seed=%d", f.Name, seed+1), func(t *testing.T) {
				r := bench.Run(caseNamed(t, f, name), variantNamed(t, bench.Standard), seed+1)
				require.Zero(t, r.ColdOverloads, "calls above the slots of a cold endpoint")
				require.LessOrEqual(t, r.Amplification, 1.1)
				check(t, r)
			})
		}
	}
}

func TestSteadyLoadKeepsAttainment(t *testing.T) {
	runAllSeeds(t, "steady", func(t *testing.T, r bench.Result) {
		require.GreaterOrEqual(t, r.Attainment, 0.99)
		require.GreaterOrEqual(t, r.Goodput, 0.9)
	})
}

func TestBurstKeepsGoodput(t *testing.T) {
	runAllSeeds(t, "burst", func(t *testing.T, r bench.Result) { require.GreaterOrEqual(t, r.Goodput, 0.9) })
}

func TestSlowEndpointKeepsGoodput(t *testing.T) {
	runAllSeeds(t, "slow endpoint", func(t *testing.T, r bench.Result) { require.GreaterOrEqual(t, r.Goodput, 0.9) })
}

func TestUnannouncedColdStartsKeepGoodput(t *testing.T) {
	runAllSeeds(t, "cold again", func(t *testing.T, r bench.Result) { require.GreaterOrEqual(t, r.Goodput, 0.9) })
}

func TestEngineCrashResumesStreams(t *testing.T) {
	runAllSeeds(t, "engine dies", func(t *testing.T, r bench.Result) {
		require.GreaterOrEqual(t, r.Goodput, 0.9)
		require.Greater(t, r.Amplification, 1.0, "no stream was resumed")
	})
}

func TestModelLoadsDoNotReduceAttainment(t *testing.T) {
	runAllSeeds(t, "model loads", func(t *testing.T, r bench.Result) {
		require.GreaterOrEqual(t, r.Attainment, 0.99)
		require.GreaterOrEqual(t, r.Goodput, 0.9)
		require.GreaterOrEqual(t, r.ModelLoads, 10)
	})
}

func TestZoneOutageAndReturn(t *testing.T) {
	runAllSeeds(t, "zone out", func(t *testing.T, r bench.Result) {
		require.GreaterOrEqual(t, r.Attainment, 0.95)
		require.GreaterOrEqual(t, r.Goodput, 0.9)
		for second, a := range r.AttainmentBySecond {
			if second >= bench.ZoneReturnSeconds+10 && a >= 0 {
				require.GreaterOrEqual(t, a, 0.95, "second %d", second)
			}
		}
	})
}

func TestFloodByOneCustomerSparesOthers(t *testing.T) {
	runAllSeeds(t, "flood", func(t *testing.T, r bench.Result) {
		require.GreaterOrEqual(t, r.WorstCustomer, 0.95)
		require.GreaterOrEqual(t, r.Goodput, 0.9)
	})
}

func TestWithoutSlowStartColdEndpointsAreOverloaded(t *testing.T) {
	f := bench.Verbund()
	r := bench.Run(caseNamed(t, f, "cold again"), variantNamed(t, "no slow start"), 1)
	require.Positive(t, r.ColdOverloads)
}

func TestWithoutFairSharesSmallCustomersStarve(t *testing.T) {
	f := bench.Verbund()
	withShares := bench.Run(caseNamed(t, f, "flood"), variantNamed(t, bench.Standard), 1)
	withoutShares := bench.Run(caseNamed(t, f, "flood"), variantNamed(t, "no fair shares"), 1)
	require.Less(t, withoutShares.WorstCustomer, withShares.WorstCustomer-0.1)
}

func TestResultsAreReproducible(t *testing.T) {
	c := caseNamed(t, bench.Cwrt(), "engine dies")
	v := variantNamed(t, bench.Standard)
	require.Equal(t, bench.Run(c, v, 7), bench.Run(c, v, 7))
}
