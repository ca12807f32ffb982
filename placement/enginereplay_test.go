package placement_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	longKind  = modelKind{name: "long", perSecond: 32, sessions: 60, shared: 9_000, spread: 0.8, own: 3_000, output: 120}
	shortKind = modelKind{name: "short", perSecond: 110, sessions: 150, shared: 300, spread: 0.5, own: 300, output: 120}
)

// replayCases are the loads for which the choice by work replaces that by the number of calls.
func replayCases(seed uint64) map[string]modelLoad {
	burst := func(k modelKind) modelKind { k.burst = 2.5; return k }
	fetch := func(k modelKind) modelKind { k.fetch = 60; return k }
	brief := func(k modelKind) modelKind { k.life = 4_000; return k }
	hot := longKind
	hot.hot = 0.5
	many := func(k modelKind, f float64) modelKind {
		k.perSecond *= f
		k.sessions = int(float64(k.sessions) * f)
		return k
	}
	longOutput := modelKind{name: "mixed", perSecond: 120, sessions: 80, shared: 1_500, spread: 1.2, own: 300, output: 700}
	return map[string]modelLoad{
		"BurstOfLong":    {hosts: 6, engines: 12, kinds: []modelKind{burst(longKind), shortKind}, seed: seed, reportEvery: 400},
		"BurstOfShort":   {hosts: 6, engines: 12, kinds: []modelKind{longKind, burst(shortKind)}, seed: seed, reportEvery: 400},
		"HotSession":     {hosts: 6, engines: 12, kinds: []modelKind{hot, shortKind}, seed: seed, reportEvery: 400},
		"SlowQuarter":    {hosts: 6, engines: 12, slow: 3, kinds: []modelKind{longKind, shortKind}, seed: seed, reportEvery: 400},
		"SlowWithInputs": {hosts: 6, engines: 12, slow: 3, kinds: []modelKind{fetch(longKind), fetch(shortKind)}, seed: seed, reportEvery: 400},
		"LongOutputs":    {hosts: 6, engines: 12, kinds: []modelKind{longOutput}, seed: seed, reportEvery: 400},
		"NewSessions":    {hosts: 59, engines: 30, kinds: []modelKind{brief(many(longKind, 2.5)), brief(many(shortKind, 2.5))}, seed: seed, reportEvery: 400},
		"ManyHostsHot":   {hosts: 59, engines: 30, kinds: []modelKind{many(hot, 2.5), many(shortKind, 2.5)}, seed: seed, reportEvery: 400},
		"ManyHosts":      {hosts: 59, engines: 30, kinds: []modelKind{many(longKind, 2.5), many(shortKind, 2.5)}, seed: seed, reportEvery: 400},
	}
}

// replaySeeds returns the number of seeds over which the results of a load are averaged: fewer for large
// deployments, whose replays take longer and vary less.
func replaySeeds(l modelLoad) int {
	if l.hosts > 20 {
		return 1
	}
	return 4
}

// meanResults returns the results of a case by kind, averaged over its seeds.
func meanResults(name string, byWork bool) map[string]modelResult {
	out := map[string]modelResult{}
	seeds := replaySeeds(replayCases(1)[name])
	for seed := range seeds {
		for kind, r := range resultsOf(replayCases(uint64(seed) + 1)[name].replay(byWork)) {
			m, n := out[kind], float64(seeds)
			m.n += r.n / seeds
			m.p50, m.p95 = m.p50+r.p50/n, m.p95+r.p95/n
			m.pause, m.read = m.pause+r.pause/n, m.read+r.read/n
			out[kind] = m
		}
	}
	return out
}

// TestChoiceByWorkAgainstChoiceByCalls replays the same requests with both choices. It guards against a
// choice by work that makes callers of some size wait longer, or engines read more again, than the choice
// by the number of calls did, and against one that gains nothing where prompts, sessions or engines differ.
func TestChoiceByWorkAgainstChoiceByCalls(t *testing.T) {
	// The largest share of the time to the first event of 95 % that may remain, by kind.
	gains := map[string]map[string]float64{
		"BurstOfLong":    {"long": 0.75, "short": 0.65},
		"BurstOfShort":   {"long": 0.85, "short": 0.8},
		"HotSession":     {"long": 0.65, "short": 0.6},
		"SlowQuarter":    {"long": 0.65, "short": 0.4},
		"LongOutputs":    {"mixed": 0.2},
		"SlowWithInputs": {"long": 0.65, "short": 0.45},
		"ManyHosts":      {"long": 0.75, "short": 0.75},
		"ManyHostsHot":   {"long": 0.75, "short": 0.65},
		"NewSessions":    {"long": 1, "short": 0.5},
	}
	for _, name := range slices.Sorted(maps.Keys(gains)) {
		want := gains[name]
		t.Run(name, func(t *testing.T) {
			before, after := meanResults(name, false), meanResults(name, true)
			for _, kind := range slices.Sorted(maps.Keys(before)) {
				b, a := before[kind], after[kind]
				t.Logf("%-6s n=%-5d first event p50 %4.0f -> %4.0f ms, p95 %4.0f -> %4.0f ms, pause p95 %3.0f -> %3.0f ms, read again %7.0f -> %7.0f tokens",
					kind, b.n, b.p50, a.p50, b.p95, a.p95, b.pause, a.pause, b.read, a.read)
				require.LessOrEqual(t, a.p50, b.p50*1.05+1, "%s: median", kind)
				require.LessOrEqual(t, a.p95, b.p95*1.05+1, "%s: 95 %%", kind)
				require.LessOrEqual(t, a.pause, b.pause*1.05+1, "%s: pause", kind)
				// A short request may leave the engine that has its prefix cached.
				require.LessOrEqual(t, a.read, b.read+maxReadAgain*float64(b.n), "%s: read again", kind)
				if kind == "all" && name != "LongOutputs" {
					require.LessOrEqual(t, a.read, b.read, "read again in total")
				}
				if share, ok := want[kind]; ok {
					require.LessOrEqual(t, a.p95, b.p95*share, "%s: gain", kind)
				}
			}
		})
	}
}

// maxReadAgain is the number of tokens that the choice by work may let engines read again for each
// request, beyond what the choice by calls does: 0.6 ms of an engine.
const maxReadAgain = 40
