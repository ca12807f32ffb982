package report

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// textContentType is the content type of the Prometheus text format.
const textContentType = "text/plain; version=0.0.4; charset=utf-8"

// PrometheusReporter collects the metrics of a tally scope and serves them in
// the Prometheus text format. It is a tally.CachedStatsReporter and an
// http.Handler.
type PrometheusReporter struct {
	mu       sync.Mutex
	families map[string]*family
}

var _ tally.CachedStatsReporter = (*PrometheusReporter)(nil)

// family holds all series of one metric name.
type family struct {
	kind   string
	series map[string]*series
}

// series is a counter, a gauge or a histogram with one set of labels.
type series struct {
	// mu is the lock of the reporter.
	mu    *sync.Mutex
	value float64
	// buckets are the counts of a histogram by upper bound, not cumulative.
	buckets map[float64]int64
}

// reportInterval is the time between two reports of a scope to its reporter.
const reportInterval = time.Second

// NewScope returns a scope that reports its metrics to p every second, with the
// name prefix cicadapitch_. Closing the closer reports the remaining counts.
func NewScope(p *PrometheusReporter) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cicadapitch",
		Separator:              "_",
		CachedReporter:         p,
		OmitCardinalityMetrics: true,
	}, reportInterval)
}

// NewPrometheusReporter returns a reporter without series.
func NewPrometheusReporter() *PrometheusReporter {
	return &PrometheusReporter{families: make(map[string]*family)}
}

// Capabilities implements tally.BaseStatsReporter.
func (p *PrometheusReporter) Capabilities() tally.Capabilities { return capabilities{} }

type capabilities struct{}

func (capabilities) Reporting() bool { return true }
func (capabilities) Tagging() bool   { return true }

// Flush implements tally.BaseStatsReporter.
func (p *PrometheusReporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (p *PrometheusReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return (*counter)(p.allocate(name, "counter", tags))
}

// AllocateGauge implements tally.CachedStatsReporter.
func (p *PrometheusReporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return (*gauge)(p.allocate(name, "gauge", tags))
}

// AllocateTimer implements tally.CachedStatsReporter. It drops timers;
// durations are recorded in histograms.
func (p *PrometheusReporter) AllocateTimer(string, map[string]string) tally.CachedTimer {
	return nopTimer{}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (p *PrometheusReporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return (*histogram)(p.allocate(name, "histogram", tags))
}

// allocate returns the series with the given name and labels. It creates the
// series on first use.
func (p *PrometheusReporter) allocate(name, kind string, tags map[string]string) *series {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.families[name]
	if !ok {
		f = &family{kind: kind, series: make(map[string]*series)}
		p.families[name] = f
	}
	labels := formatLabels(tags)
	s, ok := f.series[labels]
	if !ok {
		s = &series{mu: &p.mu, buckets: make(map[float64]int64)}
		f.series[labels] = s
	}
	return s
}

type counter series

// ReportCount implements tally.CachedCount.
func (c *counter) ReportCount(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value += float64(n)
}

type gauge series

// ReportGauge implements tally.CachedGauge.
func (g *gauge) ReportGauge(v float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value = v
}

type nopTimer struct{}

// ReportTimer implements tally.CachedTimer.
func (nopTimer) ReportTimer(time.Duration) {}

type histogram series

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Creates the bucket, so that it is served before its first sample.
	h.buckets[upper] += 0
	return bucket{h, upper}
}

// DurationBucket implements tally.CachedHistogram.
func (h *histogram) DurationBucket(lower, upper time.Duration) tally.CachedHistogramBucket {
	return h.ValueBucket(lower.Seconds(), upper.Seconds())
}

type bucket struct {
	h     *histogram
	upper float64
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b bucket) ReportSamples(n int64) {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	b.h.buckets[b.upper] += n
}

// ServeHTTP writes all series in the Prometheus text format.
func (p *PrometheusReporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := p.render()
	w.Header().Set("Content-Type", textContentType)
	_, _ = w.Write(body)
}

func (p *PrometheusReporter) render() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(p.families)) {
		f := p.families[name]
		fmt.Fprintf(&b, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			s := f.series[labels]
			if f.kind == "histogram" {
				s.renderHistogram(&b, name, labels)
				continue
			}
			fmt.Fprintf(&b, "%s%s %s\n", name, inBraces(labels), formatFloat(s.value))
		}
	}
	return b.Bytes()
}

// renderHistogram writes cumulative buckets and the count. It writes no sum,
// since tally reports only counts by bucket.
func (s *series) renderHistogram(b *bytes.Buffer, name, labels string) {
	var total int64
	separator := ""
	if labels != "" {
		separator = ","
	}
	for _, upper := range slices.Sorted(maps.Keys(s.buckets)) {
		total += s.buckets[upper]
		bound := formatFloat(upper)
		if upper == math.MaxFloat64 {
			bound = "+Inf"
		}
		fmt.Fprintf(b, "%s_bucket{%s%sle=%q} %d\n", name, labels, separator, bound, total)
	}
	fmt.Fprintf(b, "%s_count%s %d\n", name, inBraces(labels), total)
}

func formatLabels(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k+`="`+labelEscaper.Replace(tags[k])+`"`)
	}
	return strings.Join(parts, ",")
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func inBraces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
