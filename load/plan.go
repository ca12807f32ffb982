package load

import (
	"time"

	"cicadapitch.example/cicadapitch"
)

// Plan says what to send.
type Plan struct {
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Length bounds the arrivals in time, MaxRequests in number.
	Length      cicadapitch.Millis
	MaxRequests int
	// Burst raises the rate now and then.
	Burst Burst
	// Seed makes the arrivals repeat.
	Seed      uint64
	Callers   []Caller
	Pipelines []Pipeline
	// Prefixes is the number of prompt prefixes in use, 0 for none.
	Prefixes int
}

// Burst multiplies the rate by Factor for the last Length of each Every. No
// Every means no bursts.
type Burst struct {
	Every  cicadapitch.Millis
	Length cicadapitch.Millis
	Factor float64
}

// Caller is a customer's program in one availability zone.
type Caller struct {
	Customer cicadapitch.CustomerID
	Key      string
	Zone     cicadapitch.ZoneID
	// Weight is the caller's part of the arrivals.
	Weight float64
	// Deadlines are the customer's own.
	Deadlines map[cicadapitch.PipelineID]cicadapitch.Millis
}

// Pipeline is one kind of request.
type Pipeline struct {
	ID cicadapitch.PipelineID
	// Weight is the pipeline's part of the arrivals.
	Weight   float64
	Deadline cicadapitch.Millis
	// FirstToken and BetweenTokens are targets, 0 for none.
	FirstToken    cicadapitch.Millis
	BetweenTokens cicadapitch.Millis
	// Expected returns the whole answer to an input; nil checks no answers.
	Expected func(input string) string
}

// Arrival is one request that a plan asks for.
type Arrival struct {
	Number int
	// After is the span since the start of the load.
	After    time.Duration
	Caller   int
	Pipeline int
	Input    string
	Prefix   string
}

// deadline returns the span that an arrival's answer may take.
func (p Plan) deadline(a Arrival) cicadapitch.Millis {
	pipeline := p.Pipelines[a.Pipeline]
	if own := p.Callers[a.Caller].Deadlines[pipeline.ID]; own > 0 {
		return own
	}
	return pipeline.Deadline
}

// check refuses plans that have no bounds or nothing to send.
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

func invalid(reason string) error {
	return cicadapitch.NewError(cicadapitch.Invalid, reason, "complete the plan of the load")
}
