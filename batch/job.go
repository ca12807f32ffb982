package batch

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// JobID identifies a job at the owner of its shard.
type JobID uint64

// Job is one stage of one request. Its pieces share their input. Stage is the
// index of the stage in the route, Pieces the number of pieces.
type Job struct {
	ID      JobID
	Request cicadapitch.RequestID
	Stage   int
	Pieces  int
	// Key identifies the input of a stage that needs no other stage, as in
	// catalog.Request.PieceKey.
	Key string
	// Inputs holds the handles of the results that the stage reads. It is empty for
	// a stage that needs no other stage.
	Inputs []string
	// InputShards holds, for each stage that this one needs, the shard that holds
	// its results.
	InputShards []Shard
	// Zone is the preferred zone: the one that holds the inputs or uses the
	// results. MoveBytes is the number of bytes that move between zones if the
	// job runs in another one.
	Zone      cicadapitch.ZoneID
	MoveBytes cicadapitch.Bytes
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes cicadapitch.Bytes
	// Priority is the rank of the request, see catalog.Rank.
	Priority int
	// Retried is set for a request that was refused before and that its caller
	// has sent again.
	Retried bool
	// Customer is the customer of the request. Requests whose customer is not known share the empty one.
	Customer cicadapitch.CustomerID
	// Resumed is set for a stream that its caller takes up again. Its jobs precede all others,
	// since the caller has a part of the answer already.
	Resumed bool
	// OwnerUnreachable is set if the sender could not reach the shard's owner, so
	// that this host runs the job in its place.
	OwnerUnreachable bool
	// DueAt is the latest end of the stage with which the request can meet its
	// objective.
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
	// Queued is the number of pieces that are in the queue after the call was
	// filled, and RoomUsed the size of the results at the endpoint before the call.
	Queued   int
	RoomUsed cicadapitch.Bytes
}

// PieceResult is the result of one piece of a call, or the reason why there is
// none.
type PieceResult struct {
	// Handle identifies the result at its endpoint. It is empty if there is no
	// result.
	Handle string
	// InputLost means that an input no longer exists, Expired that the piece
	// expired before it ran, NoRoom that the endpoint has no memory for the
	// result.
	// Failed stands for any other failure.
	InputLost, Expired, NoRoom, Failed bool
}

// wasteCause returns why the work for a piece without a result, whose input exists, is of no use.
func (r PieceResult) wasteCause() WasteCause {
	switch {
	case r.NoRoom:
		return WasteNoMemory
	case r.Expired:
		return WasteExpired
	}
	return WasteFailed
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
	submittedAt cicadapitch.Instant
	// handles holds the result handle of each piece, or "" if there is none yet.
	handles []string
	// zones counts the results in each zone.
	zones map[cicadapitch.ZoneID]int
	// remaining is the number of pieces without a result.
	remaining int
	// queued holds the indices of the pieces in the queue.
	queued []int
	// reserved is set for a job that was admitted on the reserve.
	reserved bool
	// failures is the number of failed runs of pieces.
	failures int
}
