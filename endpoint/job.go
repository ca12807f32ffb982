package endpoint

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=CallOutcome -json -text -output=calloutcome_enumer.go

// Job is the part of an attempt that scheduling needs.
type Job struct {
	Attempt  cicadapitch.AttemptID
	Customer cicadapitch.CustomerID
	Share    cicadapitch.Share
	// Size is the number of requested tokens, 0 for plain services.
	Size       cicadapitch.Tokens
	Prefix     string
	Deadline   cicadapitch.Instant
	Idempotent bool
	// Avoid lists endpoints that Expected chooses only if no other can take
	// the job.
	Avoid []cicadapitch.EndpointID
}

// CallOutcome is the outcome of a call to an endpoint.
type CallOutcome int

// The outcomes of a call.
const (
	// Succeeded calls returned a complete answer.
	Succeeded CallOutcome = iota
	// Broken calls started and failed.
	Broken
	// Declined calls were not started by the endpoint.
	Declined
	// Canceled calls were canceled by this host.
	Canceled
	// Unstarted calls were abandoned before anything was sent.
	Unstarted
)

// CallEnd reports the end of a call.
type CallEnd struct {
	Attempt cicadapitch.AttemptID
	Outcome CallOutcome
	// Tokens is the number of tokens that the endpoint generated.
	Tokens cicadapitch.Tokens
}

// NewJob returns the job for an attempt that arrived at now.
func NewJob(a cicadapitch.Attempt, now cicadapitch.Instant) Job {
	return Job{
		Attempt:    a.ID,
		Customer:   a.Customer,
		Share:      a.Share,
		Size:       a.MaxTokens,
		Prefix:     a.Prefix,
		Deadline:   now.Add(a.Remaining),
		Idempotent: a.Idempotent,
		Avoid:      a.Avoid,
	}
}

// job is the scheduling state of a Job that waits for a slot or runs.
type job struct {
	Job
	item    *customer.Item[*job]
	arrived cicadapitch.Instant
	started cicadapitch.Instant
	// backend is the endpoint that runs the job or holds it in its affinity
	// queue. It is nil while the job is in the queue of the shard.
	backend *backend
	// hitProbability is the probability of a prefix-cache hit when the call
	// started.
	hitProbability float64
	// firstOutput is the time from the start to the first output, 0 before it.
	firstOutput cicadapitch.Millis
	// confirmed is true once the first output of the call came in time or the
	// call ended. The call then no longer counts in backend.unconfirmed.
	confirmed bool
	// utilizationAtStart is the utilization of the endpoint when the call
	// started.
	utilizationAtStart float64
	// declines counts the endpoints that declined the job.
	declines int
}
