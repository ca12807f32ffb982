package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
)

// Print writes the summary as tables.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d sent in %d ms, %.1f answered a second, attainment %.4f, %d wrong, %d skipped\n",
		s.All.Sent, s.TookMillis, s.PerSecond, s.All.Attainment, s.All.Wrong, s.All.Skipped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PIPELINE\tSENT\tANSWERED\tATTAINMENT\tWRONG\tREFUSALS\tP50 MS\tP95 MS\tP99 MS\tFIRST P50\tP95\tP99\tBETWEEN P50\tP95\tP99")
	for _, e := range append(s.Pipelines, s.All) {
		printPipeline(t, e)
	}
	t.Flush()
	fmt.Fprintln(t, "\nPIPELINE\tSTAGE\tCOUNT\tATTEMPTS\tQUEUED P50 MS\tP99\tSERVED P50 MS\tP99")
	for _, e := range s.Pipelines {
		for _, st := range e.Stages {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", e.Pipeline, st.Stage, st.Count, st.Attempts,
				formatMillis(st.Queued.P50), formatMillis(st.Queued.P99), formatMillis(st.Served.P50), formatMillis(st.Served.P99))
		}
	}
	t.Flush()
}

func printPipeline(w io.Writer, e PipelineSummary) {
	name := string(e.Pipeline)
	if name == "" {
		name = "all"
	}
	refusals := lo.Map(e.Refusals, func(r Refusal, _ int) string { return fmt.Sprintf("%s:%d", r.Kind, r.Count) })
	fmt.Fprintf(w, "%s\t%d\t%d\t%.4f\t%d\t%s\t%s\t%s\t%s\n", name, e.Sent, e.Answered, e.Attainment, e.Wrong,
		lo.CoalesceOrEmpty(strings.Join(refusals, " "), "-"), quantileColumns(e.Took), quantileColumns(e.FirstToken), quantileColumns(e.BetweenTokens))
}

// quantileColumns returns P50, P95 and P99 in milliseconds as three columns.
func quantileColumns(q Quantiles) string {
	if q.Count == 0 {
		return "-\t-\t-"
	}
	return formatMillis(q.P50) + "\t" + formatMillis(q.P95) + "\t" + formatMillis(q.P99)
}

func formatMillis(micros int64) string { return fmt.Sprintf("%.1f", float64(micros)/1000) }
