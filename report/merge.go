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

// MergeAttainment adds up the entries of several hosts by key, such as the
// customer, the pipeline or the zone. Fields that differ within an entry are
// left empty.
func MergeAttainment(list []Attainment, key func(Attainment) string) []Attainment {
	return merge(list, key, func(group []Attainment) Attainment {
		sum := Attainment{Customer: group[0].Customer, Pipeline: group[0].Pipeline, Zone: group[0].Zone}
		took := newHistogram()
		for _, a := range group {
			sum.add(a)
			if h, err := hdrhistogram.Decode([]byte(a.TookMillis)); err == nil {
				took.Merge(h)
			}
		}
		sum.TookMillis = encode(took)
		return sum
	})
}

// MergeCosts adds up the entries of several hosts by key. Fields that differ
// within an entry are left empty.
func MergeCosts(list []StageCost, key func(StageCost) string) []StageCost {
	return merge(list, key, func(group []StageCost) StageCost {
		sum := StageCost{Pipeline: group[0].Pipeline, Stage: group[0].Stage, Zone: group[0].Zone}
		for _, c := range group {
			sum.add(c)
		}
		return sum
	})
}

// merge replaces the entries of each key by their sum, in the order of the keys.
func merge[E any](list []E, key func(E) string, sum func(group []E) E) []E {
	groups := lo.GroupBy(list, key)
	merged := make([]E, 0, len(groups))
	for _, k := range slices.Sorted(maps.Keys(groups)) {
		merged = append(merged, sum(groups[k]))
	}
	return merged
}

func (a *Attainment) add(b Attainment) {
	a.Customer = same(a.Customer, b.Customer)
	a.Pipeline = same(a.Pipeline, b.Pipeline)
	a.Zone = same(a.Zone, b.Zone)
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

func same[T comparable](a, b T) T {
	var none T
	if a != b {
		return none
	}
	return a
}

// MetPercent returns the share of all ended requests that got a whole answer within
// their deadline, as a percentage, or - where none ended.
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

// Quantile returns the time within which the share q of the whole answers came.
func (a Attainment) Quantile(q float64) cicadapitch.Millis {
	h, err := hdrhistogram.Decode([]byte(a.TookMillis))
	if err != nil {
		return 0
	}
	return cicadapitch.Millis(h.ValueAtQuantile(q * 100))
}

func (c *StageCost) add(b StageCost) {
	c.Pipeline = same(c.Pipeline, b.Pipeline)
	c.Stage = same(c.Stage, b.Stage)
	c.Zone = same(c.Zone, b.Zone)
	c.Count += b.Count
	c.Attempts += b.Attempts
	c.Queued += b.Queued
	c.Served += b.Served
	c.Tokens += b.Tokens
	c.Cost += b.Cost
}

// Bounds of the latency histograms in milliseconds. One significant digit
// keeps a histogram near 2 KB; there is one for each customer and pipeline.
const (
	minTook = 1
	maxTook = 600_000
	digits  = 1
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minTook, maxTook, digits) }

func encode(h *hdrhistogram.Histogram) string {
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(b)
}
