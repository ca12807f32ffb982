package canary

import "math"

// stratum holds the answers of both versions in the same short time on the same route, and how many of
// them were bad.
type stratum struct{ oldAnswers, oldBad, newAnswers, newBad int64 }

// checked returns s with at most as many bad answers as answers. The reports of a broken host may differ, such as by
// failures that come after their answers.
func (s stratum) checked() stratum {
	s.oldAnswers, s.newAnswers = max(s.oldAnswers, 0), max(s.newAnswers, 0)
	s.oldBad, s.newBad = min(max(s.oldBad, 0), s.oldAnswers), min(max(s.newBad, 0), s.newAnswers)
	return s
}

// logRatio returns the natural logarithm of the likelihood ratio of the number of bad answers at the new
// version, given the number of bad answers at both versions together: odds of a bad answer that are oddsRatio times
// those of the old version, against equal odds. Its exponential has the mean 1 for equal odds,
// whatever the common share of bad answers is, so products over strata are a test that
// may be looked at any number of times.
func (s stratum) logRatio(oddsRatio float64) float64 {
	bad := s.oldBad + s.newBad
	least, most := max(0, bad-s.oldAnswers), min(bad, s.newAnswers)
	if least >= most || oddsRatio <= 0 {
		return 0
	}
	step := math.Log(oddsRatio)
	// The sums over all possible numbers of bad answers at the new version are relative to the first term.
	var equal, shifted logSum
	weight := 0.0
	for k := least; ; k++ {
		equal.add(weight)
		shifted.add(weight + float64(k)*step)
		if k == most {
			break
		}
		weight += math.Log(float64(bad-k) * float64(s.newAnswers-k) / (float64(k+1) * float64(s.oldAnswers-bad+k+1)))
	}
	return float64(s.newBad)*step - shifted.value() + equal.value()
}

// logSum is the logarithm of a sum of exponentials.
type logSum struct {
	largest, scaled float64
	any             bool
}

func (l *logSum) add(x float64) {
	switch {
	case !l.any:
		l.largest, l.scaled, l.any = x, 1, true
	case x <= l.largest:
		l.scaled += math.Exp(x - l.largest)
	default:
		l.scaled = l.scaled*math.Exp(l.largest-x) + 1
		l.largest = x
	}
}

func (l *logSum) value() float64 { return l.largest + math.Log(l.scaled) }

// odds returns the odds of a share.
func odds(share float64) float64 { return share / (1 - share) }
