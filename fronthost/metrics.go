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

// metricsHandler writes the snapshot of a scope in the text exposition format.
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
			lines = append(lines, histogram(h)...)
		}
		sort.Strings(lines)
		// The scraper's connection failing is the scraper's to notice.
		_, _ = io.WriteString(w, strings.Join(lines, ""))
	})
}

func histogram(h tally.HistogramSnapshot) []string {
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
