package canary

import "math"

// Splitter is one host's share of the requests for the new version. It is not safe for concurrent use.
type Splitter struct{ sum float64 }

// NewSplitter returns a splitter that starts at a fraction, which the caller draws at random from
// [0, 1). With random starts the total over all hosts is right on average, and no host has slack of
// its own, however few requests it gets and however often it restarts.
func NewSplitter(seed float64) *Splitter {
	if !(seed >= 0 && seed < 1) {
		seed = 0
	}
	return &Splitter{sum: seed}
}

// Next reports whether the next attempt at a request goes to the new version. Each attempt that is
// sent to an endpoint needs its own call, so that retries get no further share. A share of 0 or less
// is never, one of 1 or more always.
func (s *Splitter) Next(share float64) bool {
	switch {
	case !(share > 0):
		return false
	case share >= 1:
		return true
	}
	s.sum += share
	if s.sum < 1 {
		return false
	}
	s.sum--
	return true
}

// Return takes back the last Next that was true, if the new version could not take the request. The
// next request goes to the new version instead. At most one request is owed.
func (s *Splitter) Return() { s.sum = math.Nextafter(1, 0) }
