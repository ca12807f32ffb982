package placement

import "cicadapitch.example/cicadapitch"

const (
	// outputWeight is the weight of the newest answer in the mean length of a route's answers.
	outputWeight = 0.05
	// hintWeight is the weight of a caller's hint beside the mean. Hints are right at the median and often
	// far off.
	hintWeight = 0.5
	// maxHintFactor bounds the hint to a multiple of the mean, and to its reciprocal.
	maxHintFactor = 4.0
)

// OutputLengths learns how many tokens the answers of each route have.
type OutputLengths struct{ means map[string]float64 }

// NewOutputLengths returns lengths without any answers.
func NewOutputLengths() *OutputLengths { return &OutputLengths{map[string]float64{}} }

// Record records the length of a whole answer.
func (l *OutputLengths) Record(route string, n cicadapitch.Tokens) {
	mean, ok := l.means[route]
	if !ok {
		mean = float64(n)
	}
	l.means[route] = mean + outputWeight*(float64(n)-mean)
}

// Expected returns the expected length of an answer. hint is what the caller expects and most what it
// allows; either is 0 if it is not known.
func (l *OutputLengths) Expected(route string, hint, most cicadapitch.Tokens) cicadapitch.Tokens {
	expected, ok := l.means[route]
	if !ok {
		expected = defaultOutputTokens
	}
	if hint > 0 {
		bounded := min(max(float64(hint), expected/maxHintFactor), expected*maxHintFactor)
		expected += hintWeight * (bounded - expected)
	}
	if most > 0 {
		expected = min(expected, float64(most))
	}
	return max(cicadapitch.Tokens(expected), 1)
}
