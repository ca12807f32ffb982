package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// shareTimeConstant is the time constant with which the work for a customer is forgotten, about as long as
	// a burst.
	shareTimeConstant = 5 * cicadapitch.Second
	// minRememberedWork is the work, in milliseconds, below which a customer is forgotten.
	minRememberedWork = 0.01
)

// Shares is the work for each customer of late, in milliseconds of endpoints. It tells which customers
// have had less than an equal share while several want more than there is.
type Shares struct {
	work      map[cicadapitch.CustomerID]float64
	updatedAt cicadapitch.Instant
}

// NewShares returns shares without work.
func NewShares() *Shares { return &Shares{work: map[cicadapitch.CustomerID]float64{}} }

// Charge adds work for a customer, in milliseconds of an endpoint.
func (s *Shares) Charge(now cicadapitch.Instant, c cicadapitch.CustomerID, work float64) {
	s.decay(now)
	s.work[c] += work
}

// Work returns the work for a customer that is remembered.
func (s *Shares) Work(now cicadapitch.Instant, c cicadapitch.CustomerID) float64 {
	s.decay(now)
	return s.work[c]
}

// Equal returns the equal share of the customers that want work: what they have had together, divided by their
// number. Customers that want none leave theirs to the others. It returns infinity for fewer than two.
func (s *Shares) Equal(now cicadapitch.Instant, wanting map[cicadapitch.CustomerID]bool) float64 {
	if len(wanting) < 2 {
		return math.Inf(1)
	}
	s.decay(now)
	sum := 0.0
	for c := range wanting {
		sum += s.work[c]
	}
	return sum / float64(len(wanting))
}

// decay lets the work decay until now.
func (s *Shares) decay(now cicadapitch.Instant) {
	if now <= s.updatedAt {
		return
	}
	factor := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(shareTimeConstant))
	for c := range s.work {
		if s.work[c] *= factor; s.work[c] < minRememberedWork {
			delete(s.work, c)
		}
	}
	s.updatedAt = now
}
