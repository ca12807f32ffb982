// Command bench prints the figures of the decision bench as a table. They
// repeat exactly for a seed.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"cicadapitch.example/cicadapitch/bench"
)

func main() {
	seeds, only, fleet, variant, curve := 3, "", "", "", false
	flaggy.SetName("bench")
	flaggy.SetDescription("Measures the decisions on virtual time.")
	flaggy.Int(&seeds, "s", "seeds", "number of seeds for each row")
	flaggy.String(&only, "c", "case", "run this case only")
	flaggy.String(&fleet, "f", "fleet", "run this fleet only: Verbund, Cwrt or Letter")
	flaggy.String(&variant, "v", "variant", "run this variant only")
	flaggy.Bool(&curve, "w", "weights", "show the curve over the weights")
	flaggy.Parse()
	if curve {
		exit(weights(fleet, seeds))
		return
	}
	var results []bench.Result
	for _, f := range []bench.Fleet{bench.Verbund(), bench.Cwrt()} {
		if fleet != "" && f.Name != fleet {
			continue
		}
		for _, c := range append(bench.Cases(f), bench.StoreDown(f)) {
			if only != "" && c.Name != only {
				continue
			}
			results = append(results, run(c, variant, seeds)...)
		}
	}
	if fleet == "Letter" {
		results = run(bench.LetterSteady(), bench.Standard, 1)
	}
	exit(bench.WriteTable(os.Stdout, results))
}

func weights(fleet string, seeds int) error {
	var points []bench.WeightPoint
	for _, f := range []bench.Fleet{bench.Verbund(), bench.Cwrt()} {
		if fleet == "" || f.Name == fleet {
			points = append(points, bench.SweepWeights(f, seeds)...)
		}
	}
	return bench.WriteWeightSweep(os.Stdout, points)
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c bench.Case, only string, seeds int) []bench.Result {
	var results []bench.Result
	for _, v := range bench.Variants() {
		if only != "" && v.Name != only {
			continue
		}
		for seed := range seeds {
			results = append(results, bench.Run(c, v, uint64(seed+1)))
		}
	}
	return results
}
