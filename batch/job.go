package batch

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// JobID identifies a job at the owner of its shard.
type JobID uint64

// Job is one stage of one request. Its pieces share their input.
type Job struct {
	ID      JobID
	Request cicadapitch.RequestID
	Stage   int
	Pieces  int
	// Key is the input key of a first stage. Later stages have Inputs instead,
	// the handles of the results that they read.
	Key    string
	Inputs []string
	// InputShards are the shards that hold the inputs.
	InputShards []Shard
	// Zone is the preferred zone: the one that holds the inputs or uses the
	// results. MoveBytes is the number of bytes that move between zones if the
	// job runs in another one.
	Zone      cicadapitch.ZoneID
	MoveBytes cicadapitch.Bytes
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes cicadapitch.Bytes
	// Priority orders the jobs; 0 is the highest.
	Priority int
	// Retried is set for a request that was refused before and that its caller
	// has sent again.
	Retried bool
	// OwnerUnreachable is set if the sender could not reach the shard's owner, so
	// that this host runs the job in its place.
	OwnerUnreachable bool
	// DueAt is when the stage has to end for the request to meet its objective.
	DueAt cicadapitch.Instant
	// ExpiresAt is the time after which the results are of no use.
	ExpiresAt cicadapitch.Instant
}

// Outcome is the end of a job, with its results or the reason why there are none.
type Outcome struct {
	Job JobID
	// Handles are the results in the order of the pieces, or nil if the job
	// failed.
	Handles []string
	// Zone is the zone that holds most of the results.
	Zone cicadapitch.ZoneID
	// InputLost is set if an input no longer exists, so that the earlier stages
	// have to run again.
	InputLost bool
	// Retried is set if the request was refused before and its caller has sent
	// it again.
	Retried bool
	// OwnerChanged is set if another owner should run the job.
	OwnerChanged bool
	// Reason says why there are no results.
	Reason string
	// RetryAfter is the estimated time until the queue is empty.
	RetryAfter cicadapitch.Millis
}

// PieceRef refers to one piece of a job by its index.
type PieceRef struct {
	Job   *Job
	Index int
}

// CallID identifies a call of the planner.
type CallID uint64

// Call is a command to run pieces at an endpoint.
type Call struct {
	ID       CallID
	Endpoint catalog.Endpoint
	Pieces   []PieceRef
	// ExpectedDuration is the expected duration of the call.
	ExpectedDuration cicadapitch.Millis
	// Queued is the number of pieces that stay in the queue, RoomUsed the size of
	// the results that the endpoint holds.
	Queued   int
	RoomUsed cicadapitch.Bytes
}

// PieceResult is the result of one piece of a call, or the reason why there is
// none.
type PieceResult struct {
	Handle string
	// InputLost means that an input no longer exists, Expired that the piece
	// expired before it ran, NoRoom that the endpoint has no room for the result.
	// Failed stands for any other failure.
	InputLost, Expired, NoRoom, Failed bool
}

// Failure says why a call ended without results.
type Failure int

// The failures of a call.
const (
	// NoFailure means that the call ended with results.
	NoFailure Failure = iota
	// CallRefused means that the endpoint refused the call because it was busy.
	CallRefused
	// CallFailed means that the call ended without an answer.
	CallFailed
)

// jobState is a job and its progress.
type jobState struct {
	Job
	// handles are the results so far by piece index, zones the number of results
	// by zone, remaining the number of pieces without a result.
	handles   []string
	zones     map[cicadapitch.ZoneID]int
	remaining int
	// queued holds the indices of the pieces in the queue.
	queued []int
	// failures is the number of failed runs of pieces.
	failures int
}
