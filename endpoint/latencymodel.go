package endpoint

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// smoothingFactor is the weight of a new sample in a movingAverage once it has
// 1/smoothingFactor samples.
const smoothingFactor = 0.1

// movingAverage is an exponentially weighted moving average. Its first
// 1/smoothingFactor samples have equal weights.
type movingAverage struct {
	value   float64
	samples int
}

// add updates the average with a sample.
func (m *movingAverage) add(v float64) {
	m.samples++
	m.value += (v - m.value) * max(smoothingFactor, 1/float64(m.samples))
}

// firstOutputFraction is the fraction of a nominal service time that passes
// before the first token. It applies until calls have been measured.
const firstOutputFraction = 0.2

// latencyModel predicts the service times of a shard's calls, in milliseconds,
// from completed calls. A service time consists of the time to the first
// output, which a prefix-cache hit shortens, and a time for each generated
// token. Plain services generate no tokens: their service time is the time to
// the first output.
type latencyModel struct {
	// firstOnHit and firstOnMiss are the times to the first output after a
	// hit and after a miss in the prefix cache.
	firstOnHit  movingAverage
	firstOnMiss movingAverage
	perToken    movingAverage
	// generatedFraction is the fraction of the requested tokens that is
	// generated.
	generatedFraction movingAverage
	// requestedTokens is the number of tokens that a call requests.
	requestedTokens movingAverage
	// deviation is the absolute deviation of a service time from its
	// prediction, as a fraction of the prediction.
	deviation movingAverage
}

// newLatencyModel returns a model that predicts the nominal service time for a
// call that requests the given number of tokens.
func newLatencyModel(nominal cicadapitch.Millis, requested cicadapitch.Tokens) latencyModel {
	m := latencyModel{generatedFraction: movingAverage{value: 1, samples: 1}, deviation: movingAverage{value: 0.2, samples: 1}}
	first := float64(nominal)
	if requested > 0 {
		first *= firstOutputFraction
		m.perToken = movingAverage{value: float64(nominal) * (1 - firstOutputFraction) / float64(requested), samples: 1}
	}
	m.firstOnMiss = movingAverage{value: first, samples: 1}
	m.firstOnHit = m.firstOnMiss
	m.requestedTokens = movingAverage{value: float64(requested), samples: 1}
	return m
}

// timeToFirstOutput returns the expected time to the first output for a
// probability of a prefix-cache hit.
func (m *latencyModel) timeToFirstOutput(hitProbability float64) float64 {
	return hitProbability*m.firstOnHit.value + (1-hitProbability)*m.firstOnMiss.value
}

// serviceTime returns the expected service time of a call that requests the
// given number of tokens.
func (m *latencyModel) serviceTime(requested cicadapitch.Tokens, hitProbability float64) float64 {
	return m.timeToFirstOutput(hitProbability) + float64(requested)*m.generatedFraction.value*m.perToken.value
}

// fullLengthServiceTime returns the expected service time of a call that misses
// the prefix cache and generates all requested tokens.
func (m *latencyModel) fullLengthServiceTime(requested cicadapitch.Tokens) float64 {
	return m.firstOnMiss.value + float64(requested)*m.perToken.value
}

// latencyRatio returns the service time of a call as a multiple of the service
// time expected for the tokens that the call generated.
func (m *latencyModel) latencyRatio(s sample) float64 {
	expected := m.timeToFirstOutput(s.hitProbability) + float64(s.generatedTokens)*m.perToken.value
	return s.serviceTime / max(expected, 1)
}

// sample is the measurement of a completed call, with times in milliseconds.
type sample struct {
	serviceTime     float64
	firstOutput     float64
	hitProbability  float64
	requestedTokens cicadapitch.Tokens
	generatedTokens cicadapitch.Tokens
}

// observe updates the model with a completed call.
func (m *latencyModel) observe(s sample) {
	expected := m.serviceTime(s.requestedTokens, s.hitProbability)
	m.deviation.add(math.Abs(s.serviceTime-expected) / max(expected, 1))
	m.requestedTokens.add(float64(s.requestedTokens))
	switch {
	case s.hitProbability >= confirmedHit:
		m.firstOnHit.add(s.firstOutput)
	case s.hitProbability == 0:
		m.firstOnMiss.add(s.firstOutput)
	}
	if s.generatedTokens > 0 {
		m.perToken.add(max(s.serviceTime-s.firstOutput, 0) / float64(s.generatedTokens))
	}
	if s.requestedTokens > 0 {
		m.generatedFraction.add(float64(s.generatedTokens) / float64(s.requestedTokens))
	}
}
