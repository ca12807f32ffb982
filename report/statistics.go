package report

import "cicadapitch.example/cicadapitch"

// Statistics returns the counts that the queries report. Each host has its own;
// MergeAttainment and MergeCosts add up those of several hosts.
type Statistics interface {
	// Attainment returns one entry for each customer and pipeline.
	Attainment() []Attainment
	// Costs returns one entry for each pipeline, stage and zone.
	Costs() []StageCost
}

// Attainment is how the requests of one customer to one pipeline ended on one
// host.
type Attainment struct {
	Customer cicadapitch.CustomerID
	Pipeline cicadapitch.PipelineID
	// Zone is the zone of the entry host.
	Zone cicadapitch.ZoneID
	// Answered counts whole answers, Met those within their deadline.
	Answered int64
	Met      int64
	// Refusals counts the requests that ended with an error, by kind.
	Refusals []Refusal
	// TookMillis is a histogram in the compressed V2 encoding of
	// HdrHistogram, in milliseconds.
	TookMillis string
}

// Refusal counts the errors of one kind.
type Refusal struct {
	Kind  cicadapitch.Kind
	Count int64
}

// StageCost is what one stage took on one host.
type StageCost struct {
	Pipeline cicadapitch.PipelineID
	Stage    cicadapitch.StageID
	// Zone is the zone of the endpoints.
	Zone     cicadapitch.ZoneID
	Count    int64
	Attempts int64
	Queued   cicadapitch.Millis
	Served   cicadapitch.Millis
	Tokens   cicadapitch.Tokens
	Cost     cicadapitch.Cost
}

// NoStatistics counts nothing.
type NoStatistics struct{}

// Attainment implements Figures.
func (NoStatistics) Attainment() []Attainment { return nil }

// Costs implements Figures.
func (NoStatistics) Costs() []StageCost { return nil }
