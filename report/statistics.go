package report

import "cicadapitch.example/cicadapitch"

// Statistics returns the counts that the queries report. Each host has its own;
// MergeAttainment and MergeCosts add up those of several hosts.
type Statistics interface {
	// Attainment returns an entry for each customer and pipeline.
	Attainment() []Attainment
	// Costs returns an entry for each pipeline, stage and zone.
	Costs() []StageCost
}

// Attainment counts the results of the requests of one customer to one pipeline
// that entered at one host.
type Attainment struct {
	Customer cicadapitch.CustomerID
	Pipeline cicadapitch.PipelineID
	// Zone is the zone of the entry host.
	Zone cicadapitch.ZoneID
	// Answered counts the requests with a complete answer.
	Answered int64
	// Met counts the answered requests that met their deadline.
	Met int64
	// Refusals counts the requests that ended with an error, by kind.
	Refusals []Refusal
	// TookMillis is the latency histogram of the answered requests in
	// milliseconds, in the compressed V2 encoding of HdrHistogram as base64
	// text.
	TookMillis string
}

// Refusal counts the errors of one kind.
type Refusal struct {
	Kind  cicadapitch.Kind
	Count int64
}

// StageCost is the sum of the times, tokens and costs of one stage, over the
// requests that entered at one host.
type StageCost struct {
	Pipeline cicadapitch.PipelineID
	Stage    cicadapitch.StageID
	// Zone is the zone of the endpoints.
	Zone cicadapitch.ZoneID
	// Count is the number of executions of the stage, Attempts the number of
	// attempts that they took.
	Count    int64
	Attempts int64
	// Queued and Served are the times spent waiting and executing.
	Queued cicadapitch.Millis
	Served cicadapitch.Millis
	// Tokens is the number of generated tokens. Cost is in the unit of
	// Pool.CostPerSlotSecond.
	Tokens cicadapitch.Tokens
	Cost   cicadapitch.Cost
}

// NoStatistics is a Statistics without entries.
type NoStatistics struct{}

// Attainment implements Statistics.
func (NoStatistics) Attainment() []Attainment { return nil }

// Costs implements Statistics.
func (NoStatistics) Costs() []StageCost { return nil }
