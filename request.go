package cicadapitch

import "context"

// Request is one caller's request.
type Request struct {
	ID       RequestID
	Customer CustomerID
	Pipeline PipelineID
	Input    string
	// Prefix identifies the prompt prefix that the request shares with others. It
	// is empty if there is none.
	Prefix string
	// Deadline is the time from the arrival of the request until its deadline,
	// or 0 for the deadline of the pipeline.
	Deadline Millis
	// Token authorises one run of work that must not run twice.
	Token Token
	// IdempotencyKey is a key that the caller chooses. It is used if there is
	// no token.
	IdempotencyKey string
	// Repeated is true if the caller has already sent the request with the
	// same token or key. The earlier request may have run.
	Repeated bool
}

// Token authorises one run of a non-idempotent request. An entry host mints it
// before the caller sends the request. The text contains the id, address and
// incarnation of that host's process and a nonce. A token is valid for one customer
// only.
type Token string

// Answer is the complete answer to one request.
type Answer struct {
	Request RequestID
	Output  string
	Stages  []StageReport
}

// StageReport is the execution report of one stage of an answered request.
type StageReport struct {
	Stage    StageID
	Endpoint EndpointID
	Zone     ZoneID
	Attempts int
	// Queued is the time in the owner's queue and Served the time at the
	// endpoint, both of the attempt that succeeded.
	Queued Millis
	Served Millis
	Tokens Tokens
	Cost   Cost
}

// Chunk is a piece of the output of an attempt. Index starts at 0 and has no
// gaps within the attempt.
type Chunk struct {
	Attempt AttemptID
	Index   int
	Text    string
}

// Attempt is the message that asks the owner of a shard to run one stage of a
// request once.
type Attempt struct {
	ID AttemptID
	// Entry is the entry host of the request.
	Entry    HostID
	Customer CustomerID
	Pipeline PipelineID
	Pool     PoolID
	Shard    ShardID
	Input    string
	// Prefix identifies the prompt prefix that the request shares with others. It
	// is empty if there is none.
	Prefix string
	// MaxTokens limits the whole output, including Resume.
	MaxTokens  Tokens
	Idempotent bool
	Streams    bool
	// Remaining is the time until the deadline of the stage.
	Remaining Millis
	// Resume is the output that an earlier attempt already delivered. The
	// chunks and the output of this attempt contain only what follows.
	Resume string
	// Share is the customer's relative weight in fair queuing.
	Share Share
	// Avoid lists endpoints that have already failed this request.
	Avoid []EndpointID
}

// StageResult is the result of a completed attempt.
type StageResult struct {
	Attempt  AttemptID
	Output   string
	Endpoint EndpointID
	Zone     ZoneID
	// Queued is the time in the owner's queue and Served the time at the
	// endpoint.
	Queued Millis
	Served Millis
	Tokens Tokens
	Cost   Cost
	// Load is the load of the shard after the attempt.
	Load ShardLoad
}

// AttemptState is the current phase of an attempt, with its result or error.
type AttemptState struct {
	Attempt AttemptID
	Phase   AttemptPhase
	// Result is set if Phase is Done.
	Result *StageResult
	// Error is set if Phase is Failed, and may be set if Phase is Refused.
	Error *Error
}

// AttemptRunner runs attempts on the owners of their shards.
type AttemptRunner interface {
	// Run runs the attempt on owner and passes chunks to sink as they arrive.
	// It returns a NotRun or Redirected error only if the attempt did not
	// start and never will, and an OutcomeUnknown error if it may have
	// started.
	Run(ctx context.Context, owner Member, a Attempt, sink func(Chunk)) (StageResult, error)
	// Outcome asks owner for the state of an attempt. If the owner does not
	// know the attempt, it marks the attempt as refused and never starts it
	// later. Only the process with the incarnation in owner can answer: if
	// another process has replaced it at its address, Outcome returns an
	// OutcomeUnknown error.
	Outcome(ctx context.Context, owner Member, id AttemptID) (AttemptState, error)
}
