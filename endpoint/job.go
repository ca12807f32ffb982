package endpoint

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=CallOutcome -json -text -output=calloutcome_enumer.go

// Job is an attempt as the decisions see it.
type Job struct {
	Attempt  cicadapitch.AttemptID
	Customer cicadapitch.CustomerID
	Share    cicadapitch.Share
	// Size is the number of tokens asked for, 0 for plain services.
	Size       cicadapitch.Tokens
	Prefix     string
	Deadline   cicadapitch.Instant
	Idempotent bool
	Avoid      []cicadapitch.EndpointID
}

// CallOutcome is how a call ended.
type CallOutcome int

// The outcomes of a call.
const (
	// Succeeded calls brought a whole answer.
	Succeeded CallOutcome = iota
	// Broken calls began and failed.
	Broken
	// Declined calls did not start at the endpoint.
	Declined
	// Canceled calls were ended by this side.
	Canceled
	// Unstarted calls were given up before anything was sent.
	Unstarted
)

// CallEnd reports the end of a call.
type CallEnd struct {
	Attempt cicadapitch.AttemptID
	Outcome CallOutcome
	// Tokens is what the endpoint generated.
	Tokens cicadapitch.Tokens
}

// JobOf returns the job of an attempt that arrived at now.
func JobOf(a cicadapitch.Attempt, now cicadapitch.Instant) Job {
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
