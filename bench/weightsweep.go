package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"cicadapitch.example/cicadapitch"
)

// Weights returns the weights between cost and attainment that SweepWeights
// tries.
func Weights() []cicadapitch.Weight { return []cicadapitch.Weight{0, 0.25, 0.5, 0.75, 1} }

// WeightPoint holds the mean results of all runs at one weight. FirstToken is
// the mean of the 95th percentiles of the runs.
type WeightPoint struct {
	Fleet      string
	Weight     cicadapitch.Weight
	Attainment float64
	Served     float64
	Cost       cicadapitch.Cost
	FirstToken cicadapitch.Millis
}

// SweepWeights runs all cases of a fleet with the standard policy at each
// weight, with seeds 1 to seeds.
func SweepWeights(f Fleet, seeds int) []WeightPoint {
	var points []WeightPoint
	for _, w := range Weights() {
		f.Weight = w
		p := WeightPoint{Fleet: f.Name, Weight: w}
		n := 0
		for _, c := range Cases(f) {
			for seed := range seeds {
				r := Run(c, Variants()[0], uint64(seed+1))
				p.Attainment += r.Attainment
				p.Served += r.Served
				p.Cost += r.Cost()
				p.FirstToken += r.FirstToken
				n++
			}
		}
		p.Attainment /= float64(n)
		p.Served /= float64(n)
		p.Cost /= cicadapitch.Cost(n)
		p.FirstToken /= cicadapitch.Millis(n)
		points = append(points, p)
	}
	return points
}

// WriteWeightSweep writes the points as a table.
func WriteWeightSweep(w io.Writer, points []WeightPoint) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "fleet\tweight\tattainment\tserved\tcost\tfirst token p95")
	for _, p := range points {
		fmt.Fprintf(tw, "%s\t%.2f\t%.4f\t%.4f\t%.3f\t%d\n", p.Fleet, p.Weight, p.Attainment, p.Served, p.Cost, p.FirstToken)
	}
	return tw.Flush()
}
