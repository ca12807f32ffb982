package cicadapitch

import "context"

// Request is one caller's request.
type Request struct {
	ID       RequestID
	Customer CustomerID
	Pipeline PipelineID
	Input    string
	// Prefix groups requests whose prompts begin alike, empty for none.
	Prefix string
	// Deadline is the span left when the request arrived, 0 for the
	// pipeline's own.
	Deadline Millis
	// Token authorises one run of work that may not be repeated.
	Token Token
	// IdempotencyKey is the caller's own key, used where there is no token.
	IdempotencyKey string
	// Repeated is true where the caller has sent the request before under the
	// same token or key. An earlier sending may then have run.
	Repeated bool
}

// Token is minted by an entry host before a non-idempotent request is sent.
// Its text form names the host, the address, the incarnation and a nonce, and
// is bound to the customer.
type Token string

// Answer is the whole answer to one request.
type Answer struct {
	Request RequestID
	Output  string
	Stages  []StageReport
}

// StageReport tells what one stage of an answered request took.
type StageReport struct {
	Stage    StageID
	Endpoint EndpointID
	Zone     ZoneID
	Attempts int
	Queued   Millis
	Served   Millis
	Tokens   Tokens
	Cost     Cost
}

// Chunk is a piece of the output of an attempt. Index counts from 0 without
// gaps within the attempt.
type Chunk struct {
	Attempt AttemptID
	Index   int
	Text    string
}

// Attempt asks the owner of a shard to run one stage once.
type Attempt struct {
	ID       AttemptID
	Entry    HostID
	Customer CustomerID
	Pipeline PipelineID
	Pool     PoolID
	Shard    ShardID
	Input    string
	Prefix   string
	// MaxTokens bounds the whole output, Resume included.
	MaxTokens  Tokens
	Idempotent bool
	Streams    bool
	// Remaining is the span until the stage must have ended.
	Remaining Millis
	// Resume is the text that an earlier attempt already delivered. The
	// chunks and the output of the attempt hold only what follows it.
	Resume string
	// Share is the customer's share of a contended capacity.
	Share Share
	// Avoid names endpoints that failed this request before.
	Avoid []EndpointID
}

// StageResult is the result of an attempt that ran to its end.
type StageResult struct {
	Attempt  AttemptID
	Output   string
	Endpoint EndpointID
	Zone     ZoneID
	Queued   Millis
	Served   Millis
	Tokens   Tokens
	Cost     Cost
	// Load is the load of the shard after the attempt.
	Load ShardLoad
}

// AttemptState is what became of an attempt.
type AttemptState struct {
	Attempt AttemptID
	Phase   AttemptPhase
	// Result is set once Phase is Done.
	Result *StageResult
	// Error is set once Phase is Failed.
	Error *Error
}

// Runner runs attempts on the owner of their shard.
type Runner interface {
	// Run runs the attempt and passes on chunks as they come. It returns a
	// NotRun or Redirected error only if the attempt did not start and never
	// will, and OutcomeUnknown if that cannot be told.
	Run(ctx context.Context, owner Member, a Attempt, sink func(Chunk)) (StageResult, error)
	// Outcome asks what became of an attempt. An attempt that the owner does
	// not know is refused for good: it never starts there afterwards. Only
	// the incarnation that owner names can tell; where another one answers at
	// its address, Outcome returns an OutcomeUnknown error.
	Outcome(ctx context.Context, owner Member, id AttemptID) (AttemptState, error)
}
