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

// scrapeContentType is that of the Prometheus text format.
const scrapeContentType = "text/plain; version=0.0.4; charset=utf-8"

// PrometheusReporter keeps the totals that a tally scope reports and renders them in the
// Prometheus text format. It is a tally.CachedStatsReporter and an
// http.Handler.
type PrometheusReporter struct {
	mu       sync.Mutex
	families map[string]*family
}

var _ tally.CachedStatsReporter = (*PrometheusReporter)(nil)

// family is all series of one name.
type family struct {
	kind   string
	series map[string]*series
}

// series is one counter or gauge, or one histogram with the upper bounds of
// its buckets.
type series struct {
	mu      *sync.Mutex
	value   float64
	buckets map[float64]int64
}

// scopeInterval is the time between two reports of a scope to its scrape.
const scopeInterval = time.Second

// NewScope returns a scope whose metrics go to the scrape. Their names begin
// with cicadapitch_. Closing the closer reports what is left.
func NewScope(s *PrometheusReporter) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cicadapitch",
		Separator:              "_",
		CachedReporter:         s,
		OmitCardinalityMetrics: true,
	}, scopeInterval)
}

// NewPrometheusReporter returns a scrape without series.
func NewPrometheusReporter() *PrometheusReporter {
	return &PrometheusReporter{families: make(map[string]*family)}
}

// Capabilities implements tally.BaseStatsReporter.
func (s *PrometheusReporter) Capabilities() tally.Capabilities { return capabilities{} }

type capabilities struct{}

func (capabilities) Reporting() bool { return true }
func (capabilities) Tagging() bool   { return true }

// Flush implements tally.BaseStatsReporter.
func (s *PrometheusReporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (s *PrometheusReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return (*counter)(s.allocate(name, "counter", tags))
}

// AllocateGauge implements tally.CachedStatsReporter.
func (s *PrometheusReporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return (*gauge)(s.allocate(name, "gauge", tags))
}

// AllocateTimer implements tally.CachedStatsReporter. Timers are not kept,
// since histograms take their place.
func (s *PrometheusReporter) AllocateTimer(string, map[string]string) tally.CachedTimer {
	return noTimer{}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (s *PrometheusReporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return (*histogram)(s.allocate(name, "histogram", tags))
}

func (s *PrometheusReporter) allocate(name, kind string, tags map[string]string) *series {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.families[name]
	if !ok {
		f = &family{kind: kind, series: make(map[string]*series)}
		s.families[name] = f
	}
	labels := labelsOf(tags)
	one, ok := f.series[labels]
	if !ok {
		one = &series{mu: &s.mu, buckets: make(map[float64]int64)}
		f.series[labels] = one
	}
	return one
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

type noTimer struct{}

// ReportTimer implements tally.CachedTimer.
func (noTimer) ReportTimer(time.Duration) {}

type histogram series

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	h.mu.Lock()
	defer h.mu.Unlock()
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

// ServeHTTP renders all series.
func (s *PrometheusReporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := s.render()
	w.Header().Set("Content-Type", scrapeContentType)
	_, _ = w.Write(body)
}

func (s *PrometheusReporter) render() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(s.families)) {
		f := s.families[name]
		fmt.Fprintf(&b, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			one := f.series[labels]
			if f.kind == "histogram" {
				one.renderHistogram(&b, name, labels)
				continue
			}
			fmt.Fprintf(&b, "%s%s %s\n", name, braced(labels), number(one.value))
		}
	}
	return b.Bytes()
}

// renderHistogram writes the buckets cumulatively. The sum is not known to
// tally's buckets and is left out.
func (s *series) renderHistogram(b *bytes.Buffer, name, labels string) {
	var total int64
	separator := ""
	if labels != "" {
		separator = ","
	}
	for _, upper := range slices.Sorted(maps.Keys(s.buckets)) {
		total += s.buckets[upper]
		bound := number(upper)
		if upper == math.MaxFloat64 {
			bound = "+Inf"
		}
		fmt.Fprintf(b, "%s_bucket{%s%sle=%q} %d\n", name, labels, separator, bound, total)
	}
	fmt.Fprintf(b, "%s_count%s %d\n", name, braced(labels), total)
}

func labelsOf(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k+`="`+escape.Replace(tags[k])+`"`)
	}
	return strings.Join(parts, ",")
}

var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func braced(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
