package canary_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

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

// summary is a line of the table of bad versions.
type summary struct {
	detected, inCanary, withinBounds, inTime float64
	exposure, after, answers                 []float64
}

func summarize(all []outcome, m model) (s summary) {
	n := float64(len(all))
	for _, o := range all {
		if o.rolledBack {
			s.detected += 1 / n
			s.after = append(s.after, float64(o.at-m.onset)/1000)
		}
		if o.beforeShift {
			s.inCanary += 1 / n
		}
		if float64(o.exposed) <= o.allowed() {
			s.withinBounds += 1 / n
		}
		if o.fiftieth == 0 || o.lastToNew <= o.fiftieth+5000 {
			s.inTime += 1 / n
		}
		s.exposure = append(s.exposure, float64(o.exposed)/o.allowed())
		s.answers = append(s.answers, float64(o.exposed))
	}
	return s
}

const tableHead = "kind                        rolled back  in canary  within exposure  within 5 s of 50 bad  exposure/allowed p50 p99  s to rollback p50 p99  requests to new p50 p99"

func (s summary) line(name string) string {
	return fmt.Sprintf("%-28s %10.3f %10.3f %16.3f %21.3f %20.2f %.2f %18.1f %.1f %20.0f %.0f",
		name, s.detected, s.inCanary, s.withinBounds, s.inTime, quantile(s.exposure, .5), quantile(s.exposure, .99),
		quantile(s.after, .5), quantile(s.after, .99), quantile(s.answers, .5), quantile(s.answers, .99))
}

// named is a case of a table. weak cases state a limit and have no bound on the time after the 50th bad answer.
type named struct {
	name string
	m    model
	weak bool
}

// badVersions are the kinds of bad versions at a service of 600 requests a second, whose traffic suffices for all.
func badVersions() []named {
	busy := func(f func(m *model)) model {
		return with(func(m *model) { m.rate = 600; f(m) })
	}
	third := func(m *model) { m.share, m.factor = 1./3, 2 }
	all := func(m *model) { m.share, m.factor = 1, 2 }
	return []named{
		{name: "failures 5 %, base 0 %", m: busy(func(m *model) { m.fail, m.base = 0.05, 0 })},
		{name: "failures 5 %, base 1 %", m: busy(func(m *model) { m.fail = 0.05 })},
		{name: "failures 5 %, base 3 %", m: busy(func(m *model) { m.fail, m.base = 0.05, 0.03 })},
		{name: "failures 30 %, base 3 %", m: busy(func(m *model) { m.fail, m.base = 0.3, 0.03 })},
		{name: "failures 5 % from 10 s", m: busy(func(m *model) { m.fail, m.onset = 0.05, 10_000 })},
		{name: "failures 10 % on one route", m: busy(func(m *model) { m.fail, m.onlyRoute = 0.1, 2 })},
		{name: "failures 30 % under load", m: busy(func(m *model) { m.fail, m.underLoad, m.wave = 0.3, true, 0.4 })},
		{name: "x2 all", m: busy(all)},
		{name: "x2 a third", m: busy(third)},
		{name: "x5 a third", m: busy(func(m *model) { m.share, m.factor = 1./3, 5 })},
		{name: "x5 all, 800 ms", m: busy(func(m *model) { m.share, m.factor, m.median = 1, 5, 400 })},
		{name: "x2 all from 15 s", m: busy(func(m *model) { all(m); m.onset = 15_000 })},
		{name: "x2 a third from 10 s", m: busy(func(m *model) { third(m); m.onset = 10_000 })},
		{name: "x2 all on one route", m: busy(func(m *model) { all(m); m.onlyRoute = 2 })},
		{name: "x2 a third on one route", m: busy(func(m *model) { third(m); m.onlyRoute = 2 })},
		{name: "x2 all under load", m: busy(func(m *model) { all(m); m.underLoad, m.wave = true, 0.4 })},
		{name: "x2 a third, bursts", m: busy(func(m *model) { third(m); m.bursts = true }), weak: true},
		{name: "x2 a third, wide times", m: busy(func(m *model) { third(m); m.sigma = 0.6 }), weak: true},
		{name: "x2 a third, 59 hosts", m: busy(func(m *model) { third(m); m.hosts = 59 })},
		{name: "x2 all, nothing pending", m: busy(func(m *model) { all(m); m.noPending = true })},
		{name: "x2 all, new endpoints cold", m: busy(func(m *model) { all(m); m.coldFor = 6000 }), weak: true},
	}
}

// A bad version is rolled back before it has used its exposure in 99 of 100 rollouts.
func TestModelBadVersionsAreRolledBack(t *testing.T) {
	t.Log(tableHead)
	for _, c := range badVersions() {
		s := summarize(playAll(c.m, rollouts(60), 1), c.m)
		t.Log(s.line(c.name))
		require.GreaterOrEqual(t, s.inCanary, 0.99-1e-9, c.name)
		require.GreaterOrEqual(t, s.withinBounds, 0.99-1e-9, c.name)
		if !c.weak {
			require.GreaterOrEqual(t, s.inTime, 0.99-1e-9, c.name)
		}
	}
}

// goodVersions are services whose new version is as good as the old one.
func goodVersions() []named {
	good := func(f func(m *model)) model {
		return with(func(m *model) { m.rate, m.duration, m.base = 120, 18_000, 0.03; f(m) })
	}
	return []named{
		{name: "base 1 %", m: good(func(m *model) { m.base = 0.01 })},
		{name: "base 0 %, bursts", m: good(func(m *model) { m.base, m.bursts = 0, true })},
		{name: "base 3 %, bursts, 12 s", m: good(func(m *model) { m.bursts, m.duration = true, 12_000 })},
		{name: "base 3 %, bursts, waves", m: good(func(m *model) { m.bursts, m.wave = true, 0.4 })},
		{name: "cold for 8 s, bursts", m: good(func(m *model) { m.coldFor, m.bursts = 8000, true })},
		{name: "wide times, bursts", m: good(func(m *model) { m.sigma, m.bursts = 0.8, true })},
		{name: "10 requests a second", m: good(func(m *model) { m.rate, m.bursts = 10, true })},
		{name: "3 uneven endpoints", m: good(func(m *model) { m.endpoints, m.spread, m.bursts = 3, 0.15, true })},
	}
}

// A good version is rolled back in fewer than 1 in 1,000 rollouts, and otherwise completed by the deadline.
func TestModelGoodVersionsAreCompleted(t *testing.T) {
	n, rolledBack := 0, 0
	for _, c := range goodVersions() {
		all, late := playAll(c.m, rollouts(300), 1000), 0
		bad := 0
		for _, o := range all {
			switch {
			case o.rolledBack:
				bad++
				t.Logf("rolled back after %d ms: %s", o.at, o.decision.Reason)
			case o.phase != canary.Completed || o.at > c.m.duration:
				late++
			}
		}
		t.Logf("%-28s rollouts %d, rolled back %d, late %d", c.name, len(all), bad, late)
		require.Zero(t, late, c.name)
		n, rolledBack = n+len(all), rolledBack+bad
	}
	require.Less(t, float64(rolledBack)/float64(n), 1e-3)
}

// Prints which traffic suffices for which kind. It asserts nothing and takes longer, so it runs only when asked for.
func TestModelTrafficThatSuffices(t *testing.T) {
	if os.Getenv("CANARY_TRAFFIC") == "" {
		t.Skip("set CANARY_TRAFFIC to print the table")
	}
	for _, c := range badVersions() {
		line := fmt.Sprintf("%-28s", c.name)
		for _, rate := range []float64{25, 50, 100, 200, 400, 800} {
			m := c.m
			m.rate = rate
			s := summarize(playAll(m, rollouts(100), 1), m)
			line += fmt.Sprintf("  %4.0f/s %.2f", rate, s.inCanary)
		}
		t.Log(line)
	}
}

// Versions that turn bad in Shift exceed the exposure, but are still rolled back.
func TestModelVersionsThatTurnBadInShift(t *testing.T) {
	late := func(f func(m *model)) model {
		return with(func(m *model) { m.rate, m.onset = 600, 23_500; f(m) })
	}
	t.Log(tableHead)
	for _, c := range []named{
		{name: "failures 30 % in shift", m: late(func(m *model) { m.fail = 0.3 })},
		{name: "failures 5 % in shift", m: late(func(m *model) { m.fail = 0.05 })},
		{name: "x2 all in shift", m: late(func(m *model) { m.share, m.factor = 1, 2 })},
		{name: "x5 a third in shift", m: late(func(m *model) { m.share, m.factor = 1./3, 5 })},
	} {
		s := summarize(playAll(c.m, rollouts(60), 1), c.m)
		t.Log(s.line(c.name))
		require.GreaterOrEqual(t, s.detected, 0.95, c.name)
	}
}
