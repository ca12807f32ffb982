package endpoint

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// Policy holds the numbers that steer the decisions of a shard.
type Policy struct {
	// TickEvery is the span between two looks at running and queued work.
	TickEvery cicadapitch.Millis
	// PollEvery is the span between two load reports of an endpoint.
	PollEvery cicadapitch.Millis
	// PollTimeout bounds one load report.
	PollTimeout cicadapitch.Millis
	// ReportLag bounds the age of a load report when it is read.
	ReportLag cicadapitch.Millis
	// ForeignWork bounds how long calls of a previous owner, or calls whose
	// end is not known, can run on at an endpoint.
	ForeignWork cicadapitch.Millis
	// CancelLag bounds how long an endpoint works on after a cancel.
	CancelLag cicadapitch.Millis

	// Choice says how endpoints are chosen.
	Choice Choice
	// Admission is false where attempts are queued whatever their deadline.
	Admission bool
	// SlowStart is false where an endpoint gets all its warm slots at once.
	SlowStart bool
	// Quantum is how far a customer may be served ahead of its fair share.
	Quantum customer.Work
	// Margin is the number of mean deviations that admission adds to the
	// expected service time.
	Margin float64

	// ColdFactor is how many times its usual latency an endpoint takes when
	// it counts as cold again.
	ColdFactor float64
	// ProveFactor is how many times its usual latency the first output of a
	// call may take to prove that the endpoint is warm.
	ProveFactor float64
	// GrowFactor is how many times its expected latency a call may take to
	// count fully towards another slot.
	GrowFactor float64
	// HoldFactor is how many times its usual latency an endpoint takes for
	// the first output of a call when it gets no new work until it answers.
	HoldFactor float64
	// LatencyFloor is the latency below which no endpoint counts as slow.
	LatencyFloor cicadapitch.Millis
	// EjectAfter is the number of failures in a row that eject an endpoint.
	EjectAfter int
	// EjectFactor is how many times slower than its peers an endpoint is
	// when it is ejected.
	EjectFactor float64
	// EjectFor and EjectMax are the first and the longest ejection.
	EjectFor cicadapitch.Millis
	EjectMax cicadapitch.Millis
	// MaxDeclines is how often an attempt is offered to another endpoint
	// after an endpoint declined it.
	MaxDeclines int
	// MaxPrefixes is the number of prefixes tracked for one endpoint's prefix
	// cache.
	MaxPrefixes int
}

// StandardPolicy returns the policy that the daemon uses.
func StandardPolicy() Policy {
	return Policy{
		TickEvery:    50,
		PollEvery:    cicadapitch.Second,
		PollTimeout:  cicadapitch.Second,
		ReportLag:    500,
		ForeignWork:  15 * cicadapitch.Second,
		CancelLag:    cicadapitch.Second,
		Choice:       Expected,
		Admission:    true,
		SlowStart:    true,
		Quantum:      2000,
		Margin:       1,
		ColdFactor:   3,
		ProveFactor:  1.2,
		GrowFactor:   1.6,
		HoldFactor:   2,
		LatencyFloor: 20,
		EjectAfter:   3,
		EjectFactor:  3,
		EjectFor:     cicadapitch.Second,
		EjectMax:     30 * cicadapitch.Second,
		MaxDeclines:  2,
		MaxPrefixes:  128,
	}
}
