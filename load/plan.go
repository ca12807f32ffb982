package load

import (
	"time"

	"cicadapitch.example/cicadapitch"
)

// Plan describes the requests to send and their arrival times.
type Plan struct {
	// Rate is the mean number of arrivals per second outside bursts.
	Rate float64
	// Length is the time in which requests arrive.
	Length cicadapitch.Millis
	// MaxRequests limits the number of arrivals.
	MaxRequests int
	// Burst raises the rate periodically.
	Burst Burst
	// Seed initializes the random numbers. The same plan with the same seed
	// gives the same arrivals.
	Seed      uint64
	Callers   []Caller
	Pipelines []Pipeline
	// Prefixes is the number of different prompt prefixes, 0 for none.
	Prefixes int
}

// Burst multiplies the rate by Factor during the last Length of each Period.
// There are no bursts if Period is 0.
type Burst struct {
	Period cicadapitch.Millis
	Length cicadapitch.Millis
	Factor float64
}

// Caller sends requests with a customer's key from one availability zone.
type Caller struct {
	Customer cicadapitch.CustomerID
	Key      string
	Zone     cicadapitch.ZoneID
	// Weight is the caller's share of the arrivals, relative to other callers.
	Weight float64
	// Deadlines override the deadlines of the pipelines for this customer.
	Deadlines map[cicadapitch.PipelineID]cicadapitch.Millis
}

// Pipeline describes the requests to one pipeline and their targets.
type Pipeline struct {
	ID cicadapitch.PipelineID
	// Weight is the pipeline's share of the arrivals, relative to other
	// pipelines.
	Weight   float64
	Deadline cicadapitch.Millis
	// FirstToken and BetweenTokens are the targets for the time to the first
	// token and between two tokens, 0 for none.
	FirstToken    cicadapitch.Millis
	BetweenTokens cicadapitch.Millis
	// Expected returns the correct output for an input. If it is nil, answers
	// are not checked.
	Expected func(input string) string
}

// Arrival is one planned request. Caller and Pipeline are indexes into the plan.
type Arrival struct {
	Number int
	// After is the time from the start of the load.
	After    time.Duration
	Caller   int
	Pipeline int
	Input    string
	Prefix   string
}

// deadline returns the time within which an arrival must be answered.
func (p Plan) deadline(a Arrival) cicadapitch.Millis {
	pipeline := p.Pipelines[a.Pipeline]
	if own := p.Callers[a.Caller].Deadlines[pipeline.ID]; own > 0 {
		return own
	}
	return pipeline.Deadline
}

// check returns an error if the plan is unbounded or has nothing to send.
func (p Plan) check() error {
	switch {
	case p.Rate <= 0:
		return invalid("the rate is not above 0")
	case p.Length <= 0 || p.MaxRequests <= 0:
		return invalid("the load has no bound in time or in number")
	case len(p.Callers) == 0:
		return invalid("no customer's key is given")
	case len(p.Pipelines) == 0:
		return invalid("no pipeline is given")
	}
	return nil
}

// invalid returns an Invalid error.
func invalid(reason string) error {
	return cicadapitch.NewError(cicadapitch.Invalid, reason, "complete the plan of the load")
}
