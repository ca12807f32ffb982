package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// levels is the number of priorities told apart; higher ones count as the last.
const levels = 4

// demandMemory is the time constant of the arrival rate: a few calls long.
const demandMemory cicadapitch.Millis = 1200

// demand is the smoothed arrival rate of pieces by priority, in pieces per
// millisecond.
type demand struct {
	rate [levels]float64
	at   cicadapitch.Instant
}

func level(priority int) int { return min(max(priority, 0), levels-1) }

func (d *demand) fade(now cicadapitch.Instant) {
	f := math.Exp(-float64(max(now.Sub(d.at), 0)) / float64(demandMemory))
	for i := range d.rate {
		d.rate[i] *= f
	}
	d.at = max(d.at, now)
}

func (d *demand) add(now cicadapitch.Instant, priority, pieces int) {
	d.fade(now)
	d.rate[level(priority)] += float64(pieces) / float64(demandMemory)
}

// above returns the arrival rate of the priorities before the given one.
func (d *demand) above(now cicadapitch.Instant, priority int) float64 {
	d.fade(now)
	sum := 0.0
	for _, r := range d.rate[:level(priority)] {
		sum += r
	}
	return sum
}

// all returns the whole arrival rate.
func (d *demand) all(now cicadapitch.Instant) float64 { return d.above(now, levels) + d.rate[levels-1] }
