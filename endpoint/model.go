package endpoint

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// smoothing is the weight of a new sample in a mean that has settled.
const smoothing = 0.1

// mean is an exponentially weighted mean that starts with plain averaging.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(v float64) {
	m.samples++
	m.value += (v - m.value) * max(smoothing, 1/float64(m.samples))
}

// firstShare is the part of a nominal service time that goes to the first
// token until it has been measured.
const firstShare = 0.2

// model is what a shard has learned about service times, in milliseconds. A
// call takes its first part, which a prefix-cache hit shortens, and then a
// time for each token. Plain services have the first part only.
type model struct {
	hit      mean
	miss     mean
	perToken mean
	// fill is the part of the tokens asked for that is generated.
	fill mean
	// size is the mean number of tokens asked for.
	size mean
	// spread is the mean deviation of a service time from its expectation,
	// as a part of it.
	spread mean
}

// newModel starts from the nominal service time of a stage.
func newModel(nominal cicadapitch.Millis, size cicadapitch.Tokens) model {
	m := model{fill: mean{value: 1, samples: 1}, spread: mean{value: 0.2, samples: 1}}
	first := float64(nominal)
	if size > 0 {
		first *= firstShare
		m.perToken = mean{value: float64(nominal) * (1 - firstShare) / float64(size), samples: 1}
	}
	m.miss = mean{value: first, samples: 1}
	m.hit = m.miss
	m.size = mean{value: float64(size), samples: 1}
	return m
}

// first returns the expected first part for a probability of a cache hit.
func (m *model) first(hit float64) float64 {
	return hit*m.hit.value + (1-hit)*m.miss.value
}

// service returns the expected service time of a call.
func (m *model) service(size cicadapitch.Tokens, hit float64) float64 {
	return m.first(hit) + float64(size)*m.fill.value*m.perToken.value
}

// longest returns the expected service time of a call that generates all the
// tokens it may.
func (m *model) longest(size cicadapitch.Tokens) float64 {
	return m.miss.value + float64(size)*m.perToken.value
}

// ratio returns how many times the expected service time of its tokens a call
// took.
func (m *model) ratio(s sample) float64 {
	expected := m.first(s.hit) + float64(s.tokens)*m.perToken.value
	return s.service / max(expected, 1)
}

// sample is one finished call.
type sample struct {
	service float64
	first   float64
	hit     float64
	size    cicadapitch.Tokens
	tokens  cicadapitch.Tokens
}

// learn adds a finished call.
func (m *model) learn(s sample) {
	expected := m.service(s.size, s.hit)
	m.spread.add(math.Abs(s.service-expected) / max(expected, 1))
	m.size.add(float64(s.size))
	switch {
	case s.hit >= likely:
		m.hit.add(s.first)
	case s.hit == 0:
		m.miss.add(s.first)
	}
	if s.tokens > 0 {
		m.perToken.add(max(s.service-s.first, 0) / float64(s.tokens))
	}
	if s.size > 0 {
		m.fill.add(float64(s.tokens) / float64(s.size))
	}
}
