package batch

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// JobID names one stage of one request at its owner.
type JobID uint64

// Job is one stage of one request: pieces that share their input.
type Job struct {
	ID      JobID
	Request cicadapitch.RequestID
	Stage   int
	Pieces  int
	// Key or Inputs are the input of each piece.
	Key    string
	Inputs []string
	// InputShards are the shards that hold the inputs.
	InputShards []Shard
	// Zone is where the inputs are or the results are used, and MoveBytes what
	// moves between zones if the job runs elsewhere.
	Zone      cicadapitch.ZoneID
	MoveBytes cicadapitch.Bytes
	// ResultBytes is the approximate size of one result.
	ResultBytes cicadapitch.Bytes
	Priority    int
	// Returned jobs are of callers that were refused before and have come back.
	Returned bool
	// StandIn jobs come from a host that does not reach the owner.
	StandIn bool
	// Due is when the stage has to end for the request to meet its objective.
	Due cicadapitch.Instant
	// Expire is when the results are of no use any more.
	Expire cicadapitch.Instant
}

// Outcome ends a job.
type Outcome struct {
	Job JobID
	// Handles are the results in order, or nil.
	Handles []string
	// Zone is where most results are.
	Zone cicadapitch.ZoneID
	// Lost is set where an input is gone, so that the stages before have to be
	// run again.
	Lost bool
	// Returned is set where the caller had been refused before.
	Returned bool
	// Moved is set where another owner should run the job.
	Moved bool
	// Reason is set where there is no result.
	Reason string
	// RetryAfter is when the queue will have drained.
	RetryAfter cicadapitch.Millis
}

// PieceRef is one piece of a job.
type PieceRef struct {
	Job   *Job
	Index int
}

// CallID names a call of the planner.
type CallID uint64

// Call is a command: run these pieces at this endpoint.
type Call struct {
	ID       CallID
	Endpoint catalog.Endpoint
	Pieces   []PieceRef
	// Expected is how long the call should take.
	Expected cicadapitch.Millis
	// Queued counts the pieces that stay in the queue, RoomUsed is what the
	// endpoint's results take.
	Queued   int
	RoomUsed cicadapitch.Bytes
}

// PieceResult is what became of a piece of a call.
type PieceResult struct {
	Handle string
	// Gone means that an input is gone, Late that the piece's time had passed,
	// NoRoom that the endpoint holds too many results. Any other failure is
	// Failed.
	Gone, Late, NoRoom, Failed bool
}

// Failure is what became of a call without results.
type Failure int

// The failures of a call.
const (
	// None means that there are results.
	None Failure = iota
	// Full endpoints refused the call.
	Full
	// Broken calls ended without an answer.
	Broken
)

// entry is a job in the planner.
type entry struct {
	Job
	handles []string
	zones   map[cicadapitch.ZoneID]int
	left    int
	// waiting holds the indices that are in no call.
	waiting []int
	tries   int
}
