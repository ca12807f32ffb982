// Command bench runs the cases of package bench and prints the results as a
// table. Equal seeds give equal results.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"cicadapitch.example/cicadapitch/bench"
)

func main() {
	seeds, caseName, fleet, variant, sweep := 3, "", "", "", false
	changes, leaving, traffic := false, false, 0.0
	flaggy.SetName("bench")
	flaggy.SetDescription("Simulates fleets under load on virtual time and prints the results.")
	flaggy.Int(&seeds, "s", "seeds", "number of seeds for each row")
	flaggy.String(&caseName, "c", "case", "run only this case")
	flaggy.String(&fleet, "f", "fleet", "run only this fleet: Verbund or Cwrt (default both), or Letter (one case, standard variant, one seed)")
	flaggy.String(&variant, "v", "variant", "run only this variant")
	flaggy.Bool(&sweep, "w", "weights", "run all cases at several weights between cost and attainment, instead of the variants; not for Letter")
	flaggy.Bool(&changes, "p", "propagation", "measure how long changes of the configuration take to reach all hosts, on real time, instead of the cases")
	flaggy.Float64(&traffic, "t", "traffic", "share of each host's link that other calls use, with --propagation")
	flaggy.Bool(&leaving, "l", "leaving", "measure how long endpoints that leave get requests, on real time, instead of the cases")
	flaggy.Parse()
	if leaving {
		exitOnError(printLeaving())
		return
	}
	if changes {
		exitOnError(printPropagation(traffic))
		return
	}
	if sweep {
		exitOnError(printWeightSweep(fleet, seeds))
		return
	}
	var results []bench.Result
	for _, f := range []bench.Fleet{bench.Verbund(), bench.Cwrt()} {
		if fleet != "" && f.Name != fleet {
			continue
		}
		for _, c := range append(bench.Cases(f), bench.StoreDownCase(f)) {
			if caseName != "" && c.Name != caseName {
				continue
			}
			results = append(results, run(c, variant, seeds)...)
		}
	}
	if fleet == "Letter" {
		results = run(bench.FullSizeSteadyCase(), bench.Standard, 1)
	}
	exitOnError(bench.WriteTable(os.Stdout, results))
}

// printWeightSweep prints the weight sweep of one fleet, or of all but Letter
// if fleet is empty.
func printWeightSweep(fleet string, seeds int) error {
	var points []bench.WeightPoint
	for _, f := range []bench.Fleet{bench.Verbund(), bench.Cwrt()} {
		if fleet == "" || f.Name == fleet {
			points = append(points, bench.SweepWeights(f, seeds)...)
		}
	}
	return bench.WriteWeightSweep(os.Stdout, points)
}

// exitOnError prints an error and exits with status 1; it does nothing for nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs a case with one variant, or with all if variantName is empty, for
// each seed.
func run(c bench.Case, variantName string, seeds int) []bench.Result {
	var results []bench.Result
	for _, v := range bench.Variants() {
		if variantName != "" && v.Name != variantName {
			continue
		}
		for seed := range seeds {
			results = append(results, bench.Run(c, v, uint64(seed+1)))
		}
	}
	return results
}
