package canary

// LogRatio is stratum.logRatio.
func LogRatio(oldAnswers, oldBad, newAnswers, newBad int64, oddsRatio float64) float64 {
	return stratum{oldAnswers, oldBad, newAnswers, newBad}.logRatio(oddsRatio)
}

// Tail returns the probabilities of the exact and the normal test that a stratum has so many bad answers.
func Tail(oldAnswers, oldBad, newAnswers, newBad int64) (exact, normal float64) {
	s := lookSample{stratum: stratum{oldAnswers, oldBad, newAnswers, newBad}}
	m, v := s.moments()
	strata := []lookSample{s}
	return exactTail(strata, newBad), normalTail(strata, m, v, float64(newBad))
}

// StartWeight is startWeight.
var StartWeight = startWeight

// FixedRisk, ConcurrentRisk and ShiftRisk are the bounds of the risk of a false rollback.
const (
	FixedRisk      = fixedRisk
	ConcurrentRisk = concurrentRisk
	ShiftRisk      = shiftRisk
)
