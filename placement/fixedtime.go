package placement

import "slices"

const (
	// fixedTimeSamples is the number of first events of a route from which its fixed time is taken.
	fixedTimeSamples = 16
	// fixedTimeIndex is the number of those that came earlier than the fixed time and a nominal engine
	// would let them: few, since the fixed time is what nearly all of them take beyond the engine's work.
	fixedTimeIndex = 3
)

// fixedTime is how long the first events of a route take beyond the work of a nominal engine, in
// milliseconds: mostly the time in which engines fetch the inputs of requests. Without it, engines would
// count as slower the shorter their prompts are.
type fixedTime struct {
	// samples is a ring whose next place is next.
	samples []float64
	next    int
	// millis is the fixed time, 0 before there are fixedTimeSamples samples.
	millis float64
}

// record adds what a first event took beyond the time at a nominal engine, in milliseconds.
func (f *fixedTime) record(beyond float64) {
	if len(f.samples) < fixedTimeSamples {
		f.samples = append(f.samples, beyond)
	} else {
		f.samples[f.next] = beyond
		f.next = (f.next + 1) % fixedTimeSamples
	}
	if len(f.samples) == fixedTimeSamples {
		var sorted [fixedTimeSamples]float64
		copy(sorted[:], f.samples)
		slices.Sort(sorted[:])
		f.millis = max(sorted[fixedTimeIndex], 0)
	}
}
