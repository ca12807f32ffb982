package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// lookInterval is the time from which answers of both versions are compared with each other.
	lookInterval cicadapitch.Millis = 500
	// minOldAnswers is the number of answers of the old version from which a stratum is closed. Smaller strata
	// of slow services would hold answers of one version only, which say nothing.
	minOldAnswers = 4
	// maxOldOnly is the number of answers of the old version at which a stratum without any of the new one is dropped:
	// four times as many as there are to one in Canary. The old version may have been faster at that time.
	maxOldOnly = 50
	// maxLogRatio bounds the evidence of one look. A disturbance of one endpoint lasts one or two looks and
	// hits the few endpoints of the new version together, so it must not decide alone.
	maxLogRatio = 4
	// maxShiftSlowness bounds the evidence of one look for slowness in Shift, where no answers of the old
	// version at the same time tell a slow version from a disturbance of both. A decision takes about 4 s, twice as long as a
	// burst of 2 s.
	maxShiftSlowness = 2.2
	// concurrentRisk and shiftRisk bound the probability that a good version is ever rolled back by
	// the tests against the old version at the same time, and by those of Shift.
	concurrentRisk, shiftRisk = 4e-4, 2e-4
	// shiftMargin is the rise of the share of failures in Shift that is no reason for a rollback, since the old
	// version's share at the same time is not known.
	shiftMargin = 0.01
	// loadFactor is the ratio of requests per endpoint from which slowness is due to load.
	loadFactor = 1.25
)

// failureShares are the shares of answers that fail beyond those of the old version that are tested. The
// first is the least that a bad version has.
var failureShares = [...]float64{0.05, 0.1, 0.3, 0.9}

// ways is the number of ways of being bad of each test.
const ways = len(failureShares)

// testKey identifies a test: its kind, and whether it is one of Shift.
type testKey struct {
	test  Test
	shift bool
}

// routeTests are the tests of one route.
type routeTests struct {
	// compared are the totals up to which the versions were compared, by test.
	compared map[testKey]routeTotals
	evidence map[testKey]*[ways]evidence
	profile  profile
	recent   recentTimes
	// thresholds are those for the next stratum, by slowdown.
	thresholds [ways]threshold
	has        [ways]bool
	// history holds the strata of Canary, by test, for the first way of being bad.
	history [2]history
	// coarse holds the tests whose open stratum has reports of a longer time, in which the versions may have had different
	// shares of the requests. They count for the evidence of the look, which is bounded, but not for the tests at checkpoints.
	coarse map[testKey]bool
}

// tests are all tests of a rollout.
type tests struct {
	lastLook cicadapitch.Instant
	routes   map[string]*routeTests
	total    map[testKey]*[ways]evidence
	load     load
	// checkpoints is the number of checkpoints that have passed.
	checkpoints int
	// strongest is the evidence by its distance from its limit as of the last look, and bad whether the first calls for
	// a rollback.
	strongest []Evidence
	bad       bool
}

func newTests() *tests {
	return &tests{routes: map[string]*routeTests{}, total: map[testKey]*[ways]evidence{}}
}

// look compares the versions if it is time.
func (t *tests) look(now cicadapitch.Instant, g *gathering, phase Phase) {
	if now.Sub(t.lastLook) < lookInterval {
		return
	}
	t.load.look(now.Sub(t.lastLook), g.routes, phase)
	t.lastLook = now
	sums := map[testKey]*lookSum{}
	for _, name := range slices.Sorted(maps.Keys(g.routes)) {
		rt := t.routes[name]
		if rt == nil {
			rt = &routeTests{
				compared: map[testKey]routeTotals{}, evidence: map[testKey]*[ways]evidence{}, coarse: map[testKey]bool{},
			}
			t.routes[name] = rt
		}
		totals := *g.routes[name]
		for _, key := range keysOf(phase) {
			rt.coarse[key] = rt.coarse[key] || g.coarse
			rt.look(key, totals, t.load.explains(phase), sums)
		}
		rt.follow(totals, phase)
	}
	for key, sum := range sums {
		addAll(t.total, key, sum)
	}
	g.coarse = false
	t.strongest, t.bad = t.rank()
}

// look closes a stratum of a test if there are enough answers since the last one. loaded is set if slowness is due to load.
func (r *routeTests) look(key testKey, totals routeTotals, loaded bool, sums map[testKey]*lookSum) {
	before, began := r.compared[key]
	oldAnswers, newAnswers := answersSince(key.test, before, totals)
	switch {
	case key.shift && !began, newAnswers == 0 && oldAnswers >= maxOldOnly:
		r.compared[key], r.coarse[key] = totals, false
		return
	case newAnswers == 0, !key.shift && oldAnswers < minOldAnswers:
		return
	}
	r.compared[key] = totals
	if key.test == Failures || !loaded {
		r.compare(key, before, totals, sums)
	}
	r.coarse[key] = false
}

// keysOf returns the tests of a phase.
func keysOf(p Phase) []testKey {
	keys := []testKey{{Failures, false}, {Slowness, false}}
	if p == Shift {
		keys = append(keys, testKey{Failures, true}, testKey{Slowness, true})
	}
	return keys
}

// answersSince returns the answers of both versions that a test can compare. Calls at the new version that wait may be slow
// already.
func answersSince(t Test, before, now routeTotals) (oldAnswers, newAnswers int64) {
	if t == Failures {
		return now.old.answers - before.old.answers, now.new.answers - before.new.answers
	}
	return count(now.old.times) - count(before.old.times),
		count(now.new.times) - count(before.new.times) + count(now.new.pending)
}

// lookSum is the evidence of one look over all routes, by the way of being bad.
type lookSum struct {
	ratios  [ways]float64
	samples [ways]lookSample
}

// compare adds the evidence of one stratum to the tests of the route, and to the sums of all routes.
func (r *routeTests) compare(key testKey, before, t routeTotals, sums map[testKey]*lookSum) {
	route := &lookSum{}
	for way := range ways {
		if key.test == Failures {
			route.ratios[way], route.samples[way] = compareFailures(key, way, before, t)
		} else if r.has[way] {
			route.ratios[way], route.samples[way] = r.compareSlowness(key, way, before, t)
		}
	}
	if sums[key] == nil {
		sums[key] = &lookSum{}
	}
	for way := range ways {
		sums[key].ratios[way] += route.ratios[way]
		sums[key].samples[way] = sums[key].samples[way].plus(route.samples[way])
	}
	addAll(r.evidence, key, route)
	if first := route.samples[0]; !key.shift && !r.coarse[key] && first.newAnswers > 0 {
		r.history[key.test].add(first)
	}
}

// addAll adds the evidence of one look, up to its bound.
func addAll(all map[testKey]*[ways]evidence, key testKey, sum *lookSum) {
	if all[key] == nil {
		all[key] = &[ways]evidence{}
	}
	most := float64(maxLogRatio)
	if key == (testKey{Slowness, true}) {
		most = maxShiftSlowness
	}
	for way := range ways {
		all[key][way].add(min(sum.ratios[way], most), sum.samples[way], key.shift)
	}
}

// compareFailures returns the evidence of a stratum for failures. The share of the old version comes from earlier
// strata, and from all of them in Shift.
func compareFailures(key testKey, way int, before, t routeTotals) (float64, lookSample) {
	s := stratum{
		oldAnswers: t.old.answers - before.old.answers, oldBad: t.old.failures - before.old.failures,
		newAnswers: t.new.answers - before.new.answers, newBad: t.new.failures - before.new.failures,
	}
	// The old version's share is taken as 1 in 100 until 20 answers are known.
	equal := (float64(before.old.failures) + 0.2) / (float64(before.old.answers) + 20)
	bad := 1 - (1-equal)*(1-failureShares[way])
	noticed := equal + (bad-equal)/2
	if key.shift {
		equal += shiftMargin
		noticed = equal + (bad-equal)/2
	}
	return s.evidence(key, equal, bad, noticed)
}

// compareSlowness returns the evidence of a stratum for slowness.
func (r *routeTests) compareSlowness(key testKey, way int, before, t routeTotals) (float64, lookSample) {
	th := r.thresholds[way]
	s := stratum{}
	s.oldAnswers, s.oldBad = slowOf(th.bin, before.old, t.old)
	s.newAnswers, s.newBad = slowOf(th.bin, before.new, t.new)
	ratio, sample := s.evidence(key, th.equal, th.bad, th.noticed)
	sample.bin = th.bin
	return ratio, sample
}

// evidence returns the logarithm of the likelihood ratio of the stratum and what else is gathered of it. equal, bad
// and noticed are the shares of bad answers as in threshold.
func (s stratum) evidence(key testKey, equal, bad, noticed float64) (float64, lookSample) {
	s = s.checked()
	n, k := float64(s.newAnswers), float64(s.newBad)
	if key.shift {
		s.oldAnswers, s.oldBad = 0, 0
		ratio := k*math.Log(bad/equal) + (n-k)*math.Log((1-bad)/(1-equal))
		return ratio, lookSample{stratum: s, excess: k - n*equal, due: n * (noticed - equal)}
	}
	if s.newAnswers == 0 || s.oldAnswers == 0 {
		return 0, lookSample{}
	}
	share := float64(s.oldBad) / float64(s.oldAnswers)
	return s.logRatio(odds(bad) / odds(equal)), lookSample{stratum: s, excess: k - n*share, due: n * (noticed - equal)}
}

// follow takes the old version's times and chooses the thresholds for the next stratum. In Shift, the old version's
// answers are those of its longest calls only.
func (r *routeTests) follow(t routeTotals, phase Phase) {
	if phase != Shift || r.profile.total < minProfileAnswers {
		since := r.recent.add(t.old.times)
		r.profile.add(since)
	}
	var floor *[Bins]float64
	if phase == Shift {
		floor = &r.recent.worst
	}
	for way := range ways {
		r.thresholds[way], r.has[way] = r.profile.threshold(slowdowns[way], floor, r.thresholds[way], r.has[way])
	}
}

// slowOf returns the answers since the last comparison and the slow ones among them. A call counts as slow
// once it has waited for longer than the threshold, and as fast once it is answered.
func slowOf(bin int, before, t versionTotals) (answers, slow int64) {
	for i := range Bins {
		d := t.times[i] - before.times[i]
		if i <= bin {
			answers += d
			continue
		}
		slow += d + t.pending[i] - before.pending[i]
	}
	// Calls that failed while they were pending are no longer slow.
	slow = max(slow, 0)
	return answers + slow, slow
}

func count(times [Bins]int64) (n int64) {
	for _, c := range times {
		n += c
	}
	return n
}

// rank returns the evidence by its distance from its limit, and whether the first calls for a rollback.
func (t *tests) rank() (all []Evidence, bad bool) {
	all = append(all, list(t.total, Evidence{All: true}, 0.5)...)
	for _, name := range slices.Sorted(maps.Keys(t.routes)) {
		// Half of the risk is shared by the routes.
		share := 0.5 / float64(max(len(t.routes), 4))
		all = append(all, list(t.routes[name].evidence, Evidence{Route: name}, share)...)
	}
	slices.SortStableFunc(all, func(a, b Evidence) int {
		return cmp.Or(-cmp.Compare(a.calls(), b.calls()), -cmp.Compare(a.Ratio-a.Limit, b.Ratio-b.Limit))
	})
	bad = len(all) > 0 && all[0].calls() == 1
	return all[:min(len(all), MaxEvidence)], bad
}

// calls is 1 for evidence that calls for a rollback and otherwise 0.
func (e Evidence) calls() int {
	if e.Ratio >= e.Limit && e.Noticed {
		return 1
	}
	return 0
}

// list returns the evidence of each test, with share of the risk for all of them.
func list(all map[testKey]*[ways]evidence, e Evidence, share float64) (listed []Evidence) {
	for _, key := range keysOf(Shift) {
		if all[key] == nil {
			continue
		}
		risk := concurrentRisk
		if key.shift {
			risk = shiftRisk
		}
		// Two kinds of tests share the risk, and the ways of being bad share that of a test.
		limit := -math.Log(risk * share / float64(2*ways))
		for _, ev := range all[key] {
			e.Test, e.Old, e.New = key.test, ev.old, ev.new
			e.Ratio, e.Limit, e.Noticed, e.Threshold = ev.logValue, limit, ev.noticed(), 0
			if key.test == Slowness && !e.All {
				e.Threshold = edges[ev.bin]
			}
			listed = append(listed, e)
		}
	}
	return listed
}
