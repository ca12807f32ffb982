package canary

import (
	"maps"
	"math"
	"slices"
)

const (
	// fixedRisk bounds the probability that a good version is rolled back by the tests at fixed times. Half of it is for
	// the one before the shift, and half for maxCheckpoints during Canary.
	fixedRisk = 3e-4
	// firstCheckpoint is the number of answers of the new version at the first checkpoint, and checkpointGrowth
	// the ratio of two of them.
	firstCheckpoint  = 40
	checkpointGrowth = 1.3
	// maxCheckpoints covers 7,600 answers. More change nothing for a version that is bad enough.
	maxCheckpoints = 20
	// maxStrata bounds the strata that are kept for them, which is four minutes; then adjacent ones are merged.
	maxStrata = 480
	// maxExactVariance is the variance of the number of bad answers up to which its distribution is computed exactly.
	// Beyond it, the normal distribution is near enough, and the exact one takes long.
	maxExactVariance = 400
	// negligible is the probability that is left out of a distribution, far below every limit.
	negligible = 1e-16
)

// finalSuffixes are the parts of the strata that are tested before the shift, counted from the end, as a
// version may have turned bad late, and their parts of the risk. The strata as a whole have half of it.
var finalSuffixes = [...]struct{ part, risk float64 }{{1, 0.5}, {0.5, 0.25}, {0.25, 0.25}}

// history holds the strata of a test in Canary. The evidence that may be looked at any time needs up to
// twice the answers of a test at a fixed time, so such tests are made at a few checkpoints and before the shift.
type history struct {
	strata []lookSample
	// span is the number of strata that were merged into each.
	span, last int
}

// add appends the strata of one look.
func (h *history) add(s lookSample) {
	if h.span == 0 {
		h.span = 1
	}
	if h.last++; h.last < h.span && len(h.strata) > 0 {
		h.strata[len(h.strata)-1] = h.strata[len(h.strata)-1].plus(s)
		return
	}
	h.last = 0
	if len(h.strata) == maxStrata {
		for i := range maxStrata / 2 {
			h.strata[i] = h.strata[2*i].plus(h.strata[2*i+1])
		}
		h.strata = h.strata[:maxStrata/2]
		h.span *= 2
	}
	h.strata = append(h.strata, s)
}

// final is the result of a test that is made once.
type final struct {
	old, new Sample
	// p is the probability of so many bad answers of the new version if the versions are equal.
	p       float64
	noticed bool
	bin     int
}

// suffix returns the last part of the strata.
func (h *history) suffix(part float64) []lookSample {
	return h.strata[len(h.strata)-int(math.Ceil(part*float64(len(h.strata)))):]
}

// testStrata compares the versions over strata, each of one route.
func testStrata(strata []lookSample) (f final) {
	var excess, due, expected, variance float64
	for _, s := range strata {
		f.old.Answers, f.old.Bad = f.old.Answers+s.oldAnswers, f.old.Bad+s.oldBad
		f.new.Answers, f.new.Bad = f.new.Answers+s.newAnswers, f.new.Bad+s.newBad
		excess, due, f.bin = excess+s.excess, due+s.due, s.bin
		m, v := s.moments()
		expected, variance = expected+m, variance+v
	}
	f.noticed = excess >= due && excess > 0
	if !f.noticed || variance == 0 {
		f.p = 1
		return f
	}
	f.p = normalTail(strata, expected, variance, float64(f.new.Bad))
	if variance < maxExactVariance {
		f.p = max(f.p, exactTail(strata, f.new.Bad))
	}
	return f
}

// exactTail returns the probability of at least so many bad answers of the new version.
func exactTail(strata []lookSample, bad int64) (p float64) {
	distribution, offset := []float64{1}, int64(0)
	for _, s := range strata {
		offset += s.least()
		distribution = convolve(distribution, s.distribution())
	}
	for k := max(bad-offset, 0); k < int64(len(distribution)); k++ {
		p += distribution[k]
	}
	return min(max(p, negligible), 1)
}

// normalTail returns the probability by the normal distribution, with the variance that the strata show. Answers of one
// endpoint are slow together, so their number may vary more than that of independent answers.
func normalTail(strata []lookSample, expected, variance, bad float64) float64 {
	squares, ratio := 0.0, max(bad/expected, 1)
	for _, s := range strata {
		m, _ := s.moments()
		d := float64(s.newBad) - m*ratio
		squares += d * d
	}
	// The variance grows with the number of bad answers, if they are independent.
	dispersion := max(squares/(variance*ratio), 1)
	return math.Erfc((bad-expected)/math.Sqrt(2*variance*dispersion)) / 2
}

// least returns the smallest possible number of bad answers of the new version.
func (s stratum) least() int64 { return max(0, s.oldBad+s.newBad-s.oldAnswers) }

// moments returns the mean and the variance of the number of bad answers of the new version, if the versions are equal.
func (s stratum) moments() (mean, variance float64) {
	n := float64(s.oldAnswers + s.newAnswers)
	if n < 2 {
		return 0, 0
	}
	share := float64(s.oldBad+s.newBad) / n
	mean = float64(s.newAnswers) * share
	return mean, mean * (1 - share) * float64(s.oldAnswers) / (n - 1)
}

// distribution returns the probabilities of the numbers of bad answers of the new version from least on, if the
// versions are equal.
func (s stratum) distribution() []float64 {
	bad := s.oldBad + s.newBad
	least, most := s.least(), min(bad, s.newAnswers)
	logs, largest := []float64{0}, 0.0
	for k := least; k < most; k++ {
		step := math.Log(float64(bad-k) * float64(s.newAnswers-k) / (float64(k+1) * float64(s.oldAnswers-bad+k+1)))
		logs = append(logs, logs[len(logs)-1]+step)
		largest = max(largest, logs[len(logs)-1])
	}
	total := 0.0
	for i, l := range logs {
		logs[i] = math.Exp(l - largest)
		total += logs[i]
	}
	for i := range logs {
		logs[i] /= total
	}
	return logs
}

// convolve returns the distribution of the sum of two numbers, without a negligible tail.
func convolve(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i, x := range a {
		if x < negligible {
			continue
		}
		for k, y := range b {
			sum[i+k] += x * y
		}
	}
	for len(sum) > 1 && sum[len(sum)-1] < negligible {
		sum = sum[:len(sum)-1]
	}
	return sum
}

// checkpoint compares the versions if there are enough answers of the new version for the next checkpoint.
func (t *tests) checkpoint(newAnswers int64) (Evidence, bool) {
	if t.checkpoints >= maxCheckpoints || float64(newAnswers) < firstCheckpoint*math.Pow(checkpointGrowth, float64(t.checkpoints)) {
		return Evidence{}, false
	}
	// The first reports to a successor hold many answers.
	for t.checkpoints < maxCheckpoints && float64(newAnswers) >= firstCheckpoint*math.Pow(checkpointGrowth, float64(t.checkpoints)) {
		t.checkpoints++
	}
	return t.fixed(fixedRisk / 2 / maxCheckpoints)
}

// final compares the versions before the shift.
func (t *tests) final() (Evidence, bool) { return t.fixed(fixedRisk / 2) }

// fixed compares the versions over all of Canary and its last parts, with a risk for all tests. It returns the evidence
// of the test that calls for a rollback, if there is one.
func (t *tests) fixed(risk float64) (Evidence, bool) {
	names := slices.Sorted(maps.Keys(t.routes))
	for _, test := range TestValues() {
		for _, suffix := range finalSuffixes {
			var all []lookSample
			for _, name := range names {
				strata := t.routes[name].history[test].suffix(suffix.part)
				all = append(all, strata...)
				// All routes together have half of the risk.
				share := suffix.risk / float64(2*2*max(len(names), 4))
				if e, bad := testStrata(strata).evidence(test, risk*share); bad {
					e.Route = name
					return e, true
				}
			}
			if e, bad := testStrata(all).evidence(test, risk*suffix.risk/4); bad {
				e.All = true
				return e, true
			}
		}
	}
	return Evidence{}, false
}

// evidence returns the result for the log, and whether it calls for a rollback.
func (f final) evidence(test Test, risk float64) (Evidence, bool) {
	e := Evidence{Test: test, Old: f.old, New: f.new, Ratio: -math.Log(f.p), Limit: -math.Log(risk), Noticed: f.noticed}
	if test == Slowness {
		e.Threshold = edges[f.bin]
	}
	return e, e.calls() == 1
}
