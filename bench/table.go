package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a table with one row for consecutive results of the same
// fleet, case and variant. A row shows means over the seeds, and the range of
// attainment and goodput.
func WriteTable(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "fleet\tcase\tvariant\tattainment\tgoodput\tserved\tcost\tworst customer\twasted\tamplification\tmax cold calls\tcold overloads\tlate cold overloads\tfirst token p95\tbetween p95\trefusals\tmisses")
	for _, group := range groupResults(results) {
		fmt.Fprintln(tw, formatRow(group))
	}
	return tw.Flush()
}

// groupResults groups consecutive results of the same fleet, case and variant.
func groupResults(results []Result) [][]Result {
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

// formatRow formats the results of a group as one row with tab-separated cells.
func formatRow(results []Result) string {
	values := func(get func(Result) float64) []float64 {
		column := make([]float64, len(results))
		for i, r := range results {
			column[i] = get(r)
		}
		return column
	}
	cells := []string{
		results[0].Fleet, results[0].Case, results[0].Variant,
		formatSpread(values(func(r Result) float64 { return r.Attainment })),
		formatSpread(values(func(r Result) float64 { return r.Goodput })),
		formatMean(values(func(r Result) float64 { return r.Served })),
		formatMean(values(func(r Result) float64 { return float64(r.Cost()) })),
		formatMean(values(func(r Result) float64 { return r.WorstCustomer })),
		formatMean(values(func(r Result) float64 { return r.Wasted })),
		formatMean(values(func(r Result) float64 { return r.Amplification })),
		fmt.Sprintf("%.0f", slices.Max(values(func(r Result) float64 { return float64(r.MaxColdCalls) }))),
		fmt.Sprintf("%.0f", slices.Max(values(func(r Result) float64 { return float64(r.ColdOverloads) }))),
		fmt.Sprintf("%.0f", slices.Max(values(func(r Result) float64 { return float64(r.LateColdOverloads) }))),
		fmt.Sprintf("%.0f", mean(values(func(r Result) float64 { return float64(r.FirstToken) }))),
		fmt.Sprintf("%.1f", mean(values(func(r Result) float64 { return r.BetweenTokens }))),
		formatCounts(results, func(r Result) map[string]int { return r.Refusals }),
		formatCounts(results, func(r Result) map[string]int { return r.Misses }),
	}
	return strings.Join(cells, "\t")
}

func formatMean(values []float64) string { return fmt.Sprintf("%.3f", mean(values)) }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// formatSpread formats the mean with the least and the greatest value.
func formatSpread(values []float64) string {
	return fmt.Sprintf("%.3f (%.3f–%.3f)", mean(values), slices.Min(values), slices.Max(values))
}

// formatCounts formats the mean counts by key, in the order of the keys.
func formatCounts(results []Result, get func(Result) map[string]int) string {
	sum := make(map[string]int)
	for _, r := range results {
		for k, n := range get(r) {
			sum[k] += n
		}
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, sum[k]/len(results)))
	}
	return strings.Join(parts, ", ")
}
