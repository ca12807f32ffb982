package pipeline

import "cicadapitch.example/cicadapitch"

const (
	estimateGain     = 0.1
	deviationsOfTail = 3
	minTailMillis    = 20
	// A tail lies at least this far above the mean, since a hop and the
	// scheduling of a steady endpoint vary by more than its service time.
	minMarginMillis = 10
	minMarginPart   = 0.25
)

// Estimate is a moving estimate of a service time in milliseconds.
type Estimate struct {
	Mean      float64
	Deviation float64
	Samples   int
}

// NewEstimate returns the estimate to start from before measurements exist.
func NewEstimate(expected cicadapitch.Millis) Estimate {
	return Estimate{Mean: float64(max(expected, 1)), Deviation: float64(expected) / 2}
}

// Add returns the estimate after a further measurement.
func (e Estimate) Add(m cicadapitch.Millis) Estimate {
	e.Samples++
	// The first measurements weigh more, so that a wrong expectation does not
	// last.
	gain := max(estimateGain, 1/float64(e.Samples+1))
	d := float64(m) - e.Mean
	e.Mean += gain * d
	e.Deviation += gain * (max(d, -d) - e.Deviation)
	return e
}

// MeanMillis returns the mean service time.
func (e Estimate) MeanMillis() cicadapitch.Millis { return cicadapitch.Millis(e.Mean) }

// TailMillis returns a span that few attempts exceed.
func (e Estimate) TailMillis() cicadapitch.Millis {
	margin := max(deviationsOfTail*e.Deviation, minMarginPart*e.Mean, minMarginMillis)
	return max(cicadapitch.Millis(e.Mean+margin), minTailMillis)
}
