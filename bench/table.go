package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the results of the same case and variant over several
// seeds as one row: the mean, and the spread of attainment and goodput.
func WriteTable(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "fleet\tcase\tvariant\tattainment\tgoodput\tserved\tcost\tworst customer\tvain\tamplification\ton cold\tover cold\tover full\tfirst token p95\tbetween p95\trefusals\tmisses")
	for _, group := range groups(results) {
		fmt.Fprintln(tw, row(group))
	}
	return tw.Flush()
}

func groups(results []Result) [][]Result {
	var out [][]Result
	for _, r := range results {
		last := len(out) - 1
		if last >= 0 && out[last][0].Fleet == r.Fleet && out[last][0].Case == r.Case && out[last][0].Variant == r.Variant {
			out[last] = append(out[last], r)
			continue
		}
		out = append(out, []Result{r})
	}
	return out
}

func row(rs []Result) string {
	of := func(get func(Result) float64) []float64 {
		values := make([]float64, len(rs))
		for i, r := range rs {
			values[i] = get(r)
		}
		return values
	}
	cells := []string{
		rs[0].Fleet, rs[0].Case, rs[0].Variant,
		spread(of(func(r Result) float64 { return r.Attainment })),
		spread(of(func(r Result) float64 { return r.Goodput })),
		mean(of(func(r Result) float64 { return r.Served })),
		mean(of(func(r Result) float64 { return float64(r.Cost()) })),
		mean(of(func(r Result) float64 { return r.WorstCustomer })),
		mean(of(func(r Result) float64 { return r.Wasted })),
		mean(of(func(r Result) float64 { return r.Amplification })),
		fmt.Sprintf("%.0f", slices.Max(of(func(r Result) float64 { return float64(r.MaxOnCold) }))),
		fmt.Sprintf("%.0f", slices.Max(of(func(r Result) float64 { return float64(r.OverCold) }))),
		fmt.Sprintf("%.0f", slices.Max(of(func(r Result) float64 { return float64(r.OverFull) }))),
		fmt.Sprintf("%.0f", average(of(func(r Result) float64 { return float64(r.FirstToken) }))),
		fmt.Sprintf("%.1f", average(of(func(r Result) float64 { return r.BetweenTokens }))),
		kinds(rs, func(r Result) map[string]int { return r.Refusals }),
		kinds(rs, func(r Result) map[string]int { return r.Misses }),
	}
	return strings.Join(cells, "\t")
}

func mean(values []float64) string { return fmt.Sprintf("%.3f", average(values)) }

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// spread shows the mean with the least and the greatest value.
func spread(values []float64) string {
	return fmt.Sprintf("%.3f (%.3f–%.3f)", average(values), slices.Min(values), slices.Max(values))
}

func kinds(rs []Result, get func(Result) map[string]int) string {
	sum := make(map[string]int)
	for _, r := range rs {
		for k, n := range get(r) {
			sum[k] += n
		}
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, sum[k]/len(rs)))
	}
	return strings.Join(parts, ", ")
}
