package endpoint

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// Policy holds the parameters of scheduling in a shard.
type Policy struct {
	// TickInterval is the interval between two calls of State.Tick.
	TickInterval cicadapitch.Millis
	// PollInterval is the interval between two load reports of an endpoint.
	PollInterval cicadapitch.Millis
	// PollTimeout is the timeout for reading one load report.
	PollTimeout cicadapitch.Millis
	// ReportLag is the maximum age of the values in a load report at the time
	// of the request for the report.
	ReportLag cicadapitch.Millis
	// UntrackedTimeout is the longest time for which a call of a previous
	// owner, or a call that broke, is assumed to run on at an endpoint.
	UntrackedTimeout cicadapitch.Millis
	// CancelLag is the maximum time for which an endpoint still works on a
	// call after it was canceled.
	CancelLag cicadapitch.Millis

	// Choice selects the endpoint of a job.
	Choice Choice
	// Admission enables admission control: an attempt that is not expected to
	// meet its deadline is refused. Without it every attempt is queued.
	Admission bool
	// SlowStart makes an endpoint's slots grow from the pool's ColdSlots to
	// its WarmSlots. Without it an endpoint has all warm slots at once.
	SlowStart bool
	// Quantum is the work per unit of share by which one customer may be
	// served ahead of another.
	Quantum customer.Work
	// Margin is the safety margin that admission adds to the expected service
	// time, as a multiple of the mean relative deviation of service times from
	// their prediction. The deviation counts as at most 1.
	Margin float64

	// ColdFactor is the ratio of actual to expected latency of a call above
	// which the endpoint is marked as cold.
	ColdFactor float64
	// WarmFactor is the ratio of actual to expected time to the first output
	// up to which a call confirms that the endpoint is warm.
	WarmFactor float64
	// GrowFactor is the ratio of actual to expected latency up to which a call
	// counts towards another slot.
	GrowFactor float64
	// StallFactor is the ratio of actual to expected latency of a running call
	// above which the endpoint is stalled: it gets no new calls.
	StallFactor float64
	// LatencyFloor is the latency up to which no call counts as slow.
	LatencyFloor cicadapitch.Millis
	// EjectAfter is the number of consecutive failures that eject an endpoint.
	EjectAfter int
	// EjectFactor is the ratio of an endpoint's latency to the median of its
	// peers above which the endpoint is ejected.
	EjectFactor float64
	// BaseEjection is the duration of the first ejection of an endpoint. Each
	// further ejection takes twice as long, up to MaxEjection.
	BaseEjection cicadapitch.Millis
	MaxEjection  cicadapitch.Millis
	// MaxDeclines is how often an attempt that an endpoint declined is queued
	// again for another endpoint. The next decline refuses it.
	MaxDeclines int
	// MaxPrefixes is the number of prefixes tracked for one endpoint's prefix
	// cache.
	MaxPrefixes int
}

// StandardPolicy returns the policy that the daemon uses.
func StandardPolicy() Policy {
	return Policy{
		TickInterval:     50,
		PollInterval:     cicadapitch.Second,
		PollTimeout:      cicadapitch.Second,
		ReportLag:        500,
		UntrackedTimeout: 15 * cicadapitch.Second,
		CancelLag:        cicadapitch.Second,
		Choice:           Expected,
		Admission:        true,
		SlowStart:        true,
		Quantum:          2000,
		Margin:           1,
		ColdFactor:       3,
		WarmFactor:       1.2,
		GrowFactor:       1.6,
		StallFactor:      2,
		LatencyFloor:     20,
		EjectAfter:       3,
		EjectFactor:      3,
		BaseEjection:     cicadapitch.Second,
		MaxEjection:      30 * cicadapitch.Second,
		MaxDeclines:      2,
		MaxPrefixes:      128,
	}
}
