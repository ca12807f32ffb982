package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// priorityLevels is the number of priorities that are told apart. Higher ones
// count as the last.
const priorityLevels = 4

// demandTimeConstant is the time constant of the arrival rate, the length of a
// few calls.
const demandTimeConstant cicadapitch.Millis = 1200

// demand is the smoothed arrival rate by priority, in pieces per millisecond, as
// of updatedAt.
type demand struct {
	rate      [priorityLevels]float64
	updatedAt cicadapitch.Instant
}

// priorityLevel limits a priority to the levels that are told apart.
func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// decay lets the arrival rate decay until now.
func (d *demand) decay(now cicadapitch.Instant) {
	factor := math.Exp(-float64(max(now.Sub(d.updatedAt), 0)) / float64(demandTimeConstant))
	for i := range d.rate {
		d.rate[i] *= factor
	}
	d.updatedAt = max(d.updatedAt, now)
}

// add counts pieces that arrive now.
func (d *demand) add(now cicadapitch.Instant, priority, pieces int) {
	d.decay(now)
	d.rate[priorityLevel(priority)] += float64(pieces) / float64(demandTimeConstant)
}

// above returns the arrival rate of the priorities that go before the given one.
func (d *demand) above(now cicadapitch.Instant, priority int) float64 {
	d.decay(now)
	sum := 0.0
	for _, r := range d.rate[:priorityLevel(priority)] {
		sum += r
	}
	return sum
}

// total returns the arrival rate of all priorities.
func (d *demand) total(now cicadapitch.Instant) float64 {
	return d.above(now, priorityLevels) + d.rate[priorityLevels-1]
}
