package canary

import "math"

const (
	// plannedLooks are the looks at which evidence may begin at the same cost: four minutes. Later starts cost more.
	plannedLooks = 480
	// plannedShiftLooks is the same for the tests of Shift, which is short: 10 s.
	plannedShiftLooks = 20
	// firstWeight is the weight of a start at the first look, since most bad versions are bad at once. In Shift, a
	// version that is bad from the first look needs as long as others, so that a burst is told apart.
	firstWeight, firstShiftWeight = 0.5, 0.035
	// lateWeight is the weight of all starts after the planned looks together.
	lateWeight = 0.25
)

// evidence is what was gathered for one way in which a version can be bad. It may begin at any
// look, so that a version that turns bad late is found as fast as one that is bad at once, but for the
// price of the choice: a start at look t begins with a weight, and all weights sum up to at most 1.
// The largest weighted product is below a martingale of mean 1, so by Ville's inequality it ever exceeds
// 1/a with a probability of at most a, over all looks.
type evidence struct {
	looks int
	// logValue is the logarithm of the largest weighted product of likelihood ratios.
	logValue float64
	// old and new are the samples since the evidence began, and excess is the number of bad answers at the new
	// version beyond those at the old version's share. due is the excess from which callers notice.
	old, new    Sample
	excess, due float64
	// bin is that of the latest threshold of a test for slowness.
	bin int
}

// startWeight returns the logarithm of the weight of a start at a look, from 1.
func startWeight(look int, shift bool) float64 {
	first, planned := firstWeight, plannedLooks
	if shift {
		first, planned = firstShiftWeight, plannedShiftLooks
	}
	t, n := float64(look), float64(planned)
	switch {
	case look == 1:
		return math.Log(first)
	case look <= planned:
		return math.Log((1 - lateWeight - first) / n)
	default:
		return math.Log(lateWeight * n / (t * (t + 1)))
	}
}

// add takes the evidence of one look: its log likelihood ratiowith the samples and the
// excess that belong to it.
func (e *evidence) add(logRatio float64, look lookSample, shift bool) {
	e.looks++
	if w := startWeight(e.looks, shift); e.looks == 1 || w > e.logValue {
		*e = evidence{looks: e.looks, logValue: w}
	}
	e.logValue += logRatio
	e.old.Answers += look.oldAnswers
	e.old.Bad += look.oldBad
	e.new.Answers += look.newAnswers
	e.new.Bad += look.newBad
	e.excess += look.excess
	e.due += look.due
	e.bin = look.bin
}

// noticed reports whether the effect is large enough for callers to notice.
func (e *evidence) noticed() bool { return e.excess >= e.due }

// lookSample is what one look adds to the evidence beside its likelihood ratio.
type lookSample struct {
	stratum
	excess, due float64
	bin         int
}

// plus returns the sum of two samples, as of two routes.
func (l lookSample) plus(o lookSample) lookSample {
	l.oldAnswers += o.oldAnswers
	l.oldBad += o.oldBad
	l.newAnswers += o.newAnswers
	l.newBad += o.newBad
	l.excess += o.excess
	l.due += o.due
	return l
}
