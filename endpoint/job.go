package endpoint

import "cicadapitch.example/cicadapitch"

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
