package fronthost

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// metricsHandler serves a snapshot of a scope in the Prometheus text format.
func metricsHandler(scope tally.TestScope) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		snap := scope.Snapshot()
		var lines []string
		for _, c := range snap.Counters() {
			lines = append(lines, fmt.Sprintf("%s%s %d\n", c.Name(), labels(c.Tags(), ""), c.Value()))
		}
		for _, g := range snap.Gauges() {
			lines = append(lines, fmt.Sprintf("%s%s %g\n", g.Name(), labels(g.Tags(), ""), g.Value()))
		}
		for _, h := range snap.Histograms() {
			lines = append(lines, histogramLines(h)...)
		}
		sort.Strings(lines)
		// A failed write means that the scraper has disconnected.
		_, _ = io.WriteString(w, strings.Join(lines, ""))
	})
}

// histogramLines returns the lines of a histogram with cumulative buckets in
// seconds. tally's last bucket is bounded by the longest time.Duration, which becomes
// +Inf.
func histogramLines(h tally.HistogramSnapshot) []string {
	var bounds []time.Duration
	for b := range h.Durations() {
		bounds = append(bounds, b)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	var (
		lines []string
		total int64
	)
	for _, b := range bounds {
		total += h.Durations()[b]
		le := fmt.Sprintf("%g", b.Seconds())
		if b > time.Hour {
			le = "+Inf"
		}
		lines = append(lines, fmt.Sprintf("%s_bucket%s %d\n", h.Name(), labels(h.Tags(), le), total))
	}
	return append(lines, fmt.Sprintf("%s_count%s %d\n", h.Name(), labels(h.Tags(), ""), total))
}

// labels formats tags as a Prometheus label set, with the label le if le is not empty.
func labels(tags map[string]string, le string) string {
	var parts []string
	for k, v := range tags {
		parts = append(parts, fmt.Sprintf("%s=%q", k, v))
	}
	sort.Strings(parts)
	if le != "" {
		parts = append(parts, fmt.Sprintf("le=%q", le))
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
