package pipeline

import "cicadapitch.example/cicadapitch"

const (
	// estimateGain is the weight of a new measurement in the averages.
	estimateGain = 0.1
	// tailDeviations is the number of deviations from the mean to the tail.
	tailDeviations = 3
	minTailMillis  = 20
	// The tail is at least these margins above the mean, because network and
	// scheduling delays vary more than the service time of a steady endpoint.
	minTailMarginMillis = 10
	minTailMarginRatio  = 0.25
)

// Estimate is an exponential moving average of a duration in milliseconds, such
// as a service time or the time to the first chunk, and of its mean absolute
// deviation.
type Estimate struct {
	Mean      float64
	Deviation float64
	Samples   int
}

// NewEstimate returns an estimate without measurements, from the expected
// duration.
func NewEstimate(expected cicadapitch.Millis) Estimate {
	return Estimate{Mean: float64(max(expected, 1)), Deviation: float64(expected) / 2}
}

// Add returns the estimate updated with a measured duration.
func (e Estimate) Add(m cicadapitch.Millis) Estimate {
	e.Samples++
	// The first measurements have a higher gain, so that a wrong expected time
	// is corrected quickly.
	gain := max(estimateGain, 1/float64(e.Samples+1))
	delta := float64(m) - e.Mean
	e.Mean += gain * delta
	e.Deviation += gain * (max(delta, -delta) - e.Deviation)
	return e
}

// MeanMillis returns the mean duration.
func (e Estimate) MeanMillis() cicadapitch.Millis { return cicadapitch.Millis(e.Mean) }

// TailMillis estimates a high quantile of the duration: the mean plus a margin
// for deviations, at least minTailMillis.
func (e Estimate) TailMillis() cicadapitch.Millis {
	margin := max(tailDeviations*e.Deviation, minTailMarginRatio*e.Mean, minTailMarginMillis)
	return max(cicadapitch.Millis(e.Mean+margin), minTailMillis)
}
