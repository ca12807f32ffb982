package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// MergeAttainment sums the entries for which key returns the same text, such as the
// name of the customer or zone, and returns the sums in the order of these texts.
// The customer, pipeline or zone of a sum is empty if its entries differ in it.
// Entries with a malformed TookMillis add no latencies.
func MergeAttainment(list []Attainment, key func(Attainment) string) []Attainment {
	return merge(list, key, func(group []Attainment) Attainment {
		sum := Attainment{Customer: group[0].Customer, Pipeline: group[0].Pipeline, Zone: group[0].Zone}
		latency := newHistogram()
		for _, a := range group {
			sum.addCounts(a)
			if h, err := hdrhistogram.Decode([]byte(a.TookMillis)); err == nil {
				latency.Merge(h)
			}
		}
		sum.TookMillis = encodeHistogram(latency)
		return sum
	})
}

// MergeCosts sums the entries for which key returns the same text, and returns the
// sums in the order of these texts. The pipeline, stage or zone of a sum is empty
// if its entries differ in it.
func MergeCosts(list []StageCost, key func(StageCost) string) []StageCost {
	return merge(list, key, func(group []StageCost) StageCost {
		sum := StageCost{Pipeline: group[0].Pipeline, Stage: group[0].Stage, Zone: group[0].Zone}
		for _, c := range group {
			sum.add(c)
		}
		return sum
	})
}

// merge groups list by key and returns the sum of each group, in the order of
// the keys.
func merge[E any](list []E, key func(E) string, sum func(group []E) E) []E {
	groups := lo.GroupBy(list, key)
	merged := make([]E, 0, len(groups))
	for _, k := range slices.Sorted(maps.Keys(groups)) {
		merged = append(merged, sum(groups[k]))
	}
	return merged
}

// addCounts adds the counts of b, but not its latency histogram.
func (a *Attainment) addCounts(b Attainment) {
	a.Customer = commonOrZero(a.Customer, b.Customer)
	a.Pipeline = commonOrZero(a.Pipeline, b.Pipeline)
	a.Zone = commonOrZero(a.Zone, b.Zone)
	a.Answered += b.Answered
	a.Met += b.Met
	for _, r := range b.Refusals {
		i := slices.IndexFunc(a.Refusals, func(o Refusal) bool { return o.Kind == r.Kind })
		if i < 0 {
			a.Refusals = append(a.Refusals, r)
			continue
		}
		a.Refusals[i].Count += r.Count
	}
	slices.SortFunc(a.Refusals, func(x, y Refusal) int { return cmp.Compare(x.Kind, y.Kind) })
}

// commonOrZero returns a if it equals b, otherwise the zero value.
func commonOrZero[T comparable](a, b T) T {
	var none T
	if a != b {
		return none
	}
	return a
}

// MetPercent returns the share of requests that were answered within their
// deadline, among those answered or refused. It is a text such as 99.95%, or - if
// there were no requests.
func (a Attainment) MetPercent() string {
	ended := a.Answered
	for _, r := range a.Refusals {
		ended += r.Count
	}
	if ended == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(a.Met)/float64(ended))
}

// Quantile returns the latency of answered requests at the quantile q, which is
// between 0 and 1. It returns 0 if TookMillis is malformed.
func (a Attainment) Quantile(q float64) cicadapitch.Millis {
	h, err := hdrhistogram.Decode([]byte(a.TookMillis))
	if err != nil {
		return 0
	}
	return cicadapitch.Millis(h.ValueAtQuantile(q * 100))
}

// add adds the counts, times, tokens and costs of b.
func (c *StageCost) add(b StageCost) {
	c.Pipeline = commonOrZero(c.Pipeline, b.Pipeline)
	c.Stage = commonOrZero(c.Stage, b.Stage)
	c.Zone = commonOrZero(c.Zone, b.Zone)
	c.Count += b.Count
	c.Attempts += b.Attempts
	c.Queued += b.Queued
	c.Served += b.Served
	c.Tokens += b.Tokens
	c.Cost += b.Cost
}

// Range in milliseconds and precision of the latency histograms. One significant
// digit limits a histogram to about 2 KB, as there is one for each customer and
// pipeline.
const (
	minLatencyMillis  = 1
	maxLatencyMillis  = 600_000
	significantDigits = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMillis, maxLatencyMillis, significantDigits)
}

// encodeHistogram returns the compressed V2 encoding of a histogram.
func encodeHistogram(h *hdrhistogram.Histogram) string {
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(b)
}
