package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// priorityLevels is the number of priority levels, 0 being the most urgent.
// Priorities of priorityLevels-1 and above share the last level.
const priorityLevels = catalog.Ranks

// demandTimeConstant is the time constant with which the measured arrival rate
// decays, the duration of a few calls.
const demandTimeConstant cicadapitch.Millis = 1200

// demand is the smoothed arrival rate of the jobs that were expected to meet
// their objective when they arrived, in pieces per millisecond, as of updatedAt.
type demand struct {
	// rate is the arrival rate by priority level.
	rate      [priorityLevels]float64
	updatedAt cicadapitch.Instant
}

// priorityLevel returns the level of a priority, from 0 to priorityLevels-1.
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

// moreUrgentRate returns the arrival rate, in pieces per millisecond, of the
// priorities that are more urgent than the given one, which may be priorityLevels for all.
func (d *demand) moreUrgentRate(now cicadapitch.Instant, priority int) float64 {
	d.decay(now)
	sum := 0.0
	for _, r := range d.rate[:min(max(priority, 0), priorityLevels)] {
		sum += r
	}
	return sum
}

// totalRate returns the arrival rate of all priorities in pieces per
// millisecond.
func (d *demand) totalRate(now cicadapitch.Instant) float64 {
	return d.moreUrgentRate(now, priorityLevels)
}
