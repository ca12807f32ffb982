package canary_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
)

// good is a service of 200 requests a second on three routes and three hosts.
func good() model {
	return model{
		hosts: 3, rate: 200, duration: 30_000, longest: 5000, base: 0.01, median: 60, sigma: 0.3,
		weights: []float64{0.4, 0.35, 0.25}, onlyRoute: -1,
	}
}

func with(f func(m *model)) model {
	m := good()
	f(&m)
	return m
}

// playAll plays n rollouts, two at a time.
func playAll(m model, n int, first uint64) []outcome {
	all := make([]outcome, n)
	var wg sync.WaitGroup
	for w := range 2 {
		wg.Go(func() {
			for i := w; i < n; i += 2 {
				all[i] = m.play(first + uint64(i))
			}
		})
	}
	wg.Wait()
	return all
}

// rollouts is the number of rollouts of a case. CANARY_FACTOR multiplies it.
func rollouts(n int) int {
	if f, err := strconv.Atoi(os.Getenv("CANARY_FACTOR")); err == nil {
		return n * f
	}
	return n
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// row is a line of the table of bad versions.
type row struct {
	n, detected, beforeShift, overShare, late int
	exposure, at, answers                     []float64
}

func summarize(all []outcome, m model) (r row) {
	r.n = len(all)
	for _, o := range all {
		if o.rolledBack {
			r.detected++
			r.at = append(r.at, float64(o.at-m.onset)/1000)
			if o.beforeShift {
				r.beforeShift++
			}
		}
		r.exposure = append(r.exposure, float64(o.exposed)/o.allowed())
		r.answers = append(r.answers, float64(o.exposed))
		if float64(o.exposed) > o.allowed() {
			r.overShare++
		}
		if o.fiftieth > 0 && o.lastToNew > o.fiftieth+5000 {
			r.late++
		}
	}
	return r
}

func (r row) String() string {
	return fmt.Sprintf("n %4d rolled back %.3f (in canary %.3f) exposure/allowed p50 %.2f p99 %.2f, above it %d, later than 5 s %d; after p50 %.1f s p99 %.1f s, requests p50 %.0f p99 %.0f",
		r.n, float64(r.detected)/float64(r.n), float64(r.beforeShift)/float64(r.n), quantile(r.exposure, .5), quantile(r.exposure, .99),
		r.overShare, r.late, quantile(r.at, .5), quantile(r.at, .99), quantile(r.answers, .5), quantile(r.answers, .99))
}

func TestExplore(t *testing.T) {
	cases := map[string]model{
		"fail 5":         with(func(m *model) { m.fail = 0.05 }),
		"fail 5 base 3":  with(func(m *model) { m.fail = 0.05; m.base = 0.03 }),
		"fail 30":        with(func(m *model) { m.fail = 0.3 }),
		"x2 all":         with(func(m *model) { m.share = 1; m.factor = 2 }),
		"x2 third":       with(func(m *model) { m.share = 1. / 3; m.factor = 2 }),
		"x5 third":       with(func(m *model) { m.share = 1. / 3; m.factor = 5 }),
		"x2 third wide":  with(func(m *model) { m.share = 1. / 3; m.factor = 2; m.sigma = 0.6 }),
		"late fail 5":    with(func(m *model) { m.fail = 0.05; m.onset = 12_000 }),
		"late x2 all":    with(func(m *model) { m.share = 1; m.factor = 2; m.onset = 12_000 }),
		"route fail 10":  with(func(m *model) { m.fail = 0.1; m.onlyRoute = 2 }),
		"route x2 all":   with(func(m *model) { m.share = 1; m.factor = 2; m.onlyRoute = 2 }),
		"load x2":        with(func(m *model) { m.share = 1; m.factor = 2; m.underLoad = true; m.wave = 0.4 }),
		"bursts x2 3rd":  with(func(m *model) { m.share = 1. / 3; m.factor = 2; m.bursts = true }),
		"shift x2":       with(func(m *model) { m.share = 1; m.factor = 2; m.onset = 24_000 }),
		"shift fail 30":  with(func(m *model) { m.fail = 0.3; m.onset = 24_000 }),
		"good":           with(func(m *model) {}),
		"good bursts":    with(func(m *model) { m.bursts = true; m.base = 0.03 }),
		"good cold":      with(func(m *model) { m.coldFor = 8000 }),
		"good 12 s":      with(func(m *model) { m.duration = 12_000; m.bursts = true }),
		"good busy":      with(func(m *model) { m.rate = 1500; m.bursts = true; m.base = 0.03 }),
		"fail 5 b3 fast": with(func(m *model) { m.fail = 0.05; m.base = 0.03; m.rate = 500 }),
		"fail 5 base 0":  with(func(m *model) { m.fail = 0.05; m.base = 0 }),
		"wide x2 fast":   with(func(m *model) { m.share = 1. / 3; m.factor = 2; m.sigma = 0.6; m.rate = 500 }),
		"shift fail 5 ":  with(func(m *model) { m.fail = 0.05; m.onset = 23_000 }),
		"good spread 1":  with(func(m *model) { m.endpoints = 1; m.spread = 0.15 }),
		"good spread 3":  with(func(m *model) { m.endpoints = 3; m.spread = 0.15; m.bursts = true }),
	}
	names := make([]string, 0, len(cases))
	for n := range cases {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		if f := os.Getenv("CANARY_CASE"); f != "" && !strings.Contains(n, f) {
			continue
		}
		all := playAll(cases[n], rollouts(100), 1)
		t.Logf("%-14s %s", n, summarize(all, cases[n]))
		if strings.HasPrefix(n, "good") {
			late := 0
			for _, o := range all {
				if o.rolledBack {
					t.Logf("   %v %s", o.at, o.decision.Reason)
				} else if o.phase != canary.Completed || o.at > cases[n].duration {
					late++
				}
			}
			t.Logf("   late or never completed %d", late)
		}
	}
	require.NotNil(t, cases)
	_ = cicadapitch.Second
}
