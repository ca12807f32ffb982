package cicadapitch

import "context"

// Call is one call to an endpoint.
type Call struct {
	Attempt  AttemptID
	Customer CustomerID
	Endpoint Endpoint
	Model    ModelID
	Input    string
	// Prefix identifies the prompt prefix that the request shares with others. It
	// is empty if there is none.
	Prefix string
	// Resume is the output that an earlier attempt already delivered. The
	// endpoint continues after it.
	Resume string
	// MaxTokens limits the whole output, including Resume.
	MaxTokens Tokens
	// Priority is the priority that is sent to a model engine. How the engine
	// orders priorities is up to the engine.
	Priority int
	// Timeout bounds the whole call.
	Timeout Millis
	// Fencing is the fencing number of the shard's owner.
	Fencing FencingNumber
}

// CallResult is the complete answer of an endpoint to one call.
type CallResult struct {
	Output string
	Tokens Tokens
	// FirstToken is the time from the start of the call to the first chunk of
	// output.
	FirstToken Millis
}

// LoadReport is the load that an endpoint last reported about itself. It may be
// out of date.
type LoadReport struct {
	// Running is the number of requests in progress.
	Running Slots
	// Waiting is the number of requests in the endpoint's queue.
	Waiting int
	// Cold is true while the endpoint reports a cold start.
	Cold bool
	// Leaving is true once the endpoint has been asked to shut down.
	Leaving bool
	// At is when the endpoint measured the load, by its own clock, or 0 if it
	// does not report a time.
	At Instant
	// CachedPrefixes are the prefixes in the endpoint's cache, as far as its
	// cache events show.
	CachedPrefixes []string
}

// Driver calls the endpoints of the pools of one PoolKind.
type Driver interface {
	// Call makes the call and passes output text to sink as it arrives. A
	// NotRun error means that no byte was written to the endpoint, or that the
	// endpoint reported that it did not start the call. Any other failure
	// after the call has begun is an OutcomeUnknown error.
	Call(ctx context.Context, c Call, sink func(text string)) (CallResult, error)
	// Load fetches the endpoint's current load report.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// Order tells the endpoint which model and adapters to load and which role
	// to take.
	Order(ctx context.Context, e Endpoint, o EndpointOrder) error
}

// EndpointOrder is an order to an engine to change what it serves.
type EndpointOrder struct {
	Model    ModelID
	Version  ModelVersion
	Adapters []AdapterID
	Role     string
	// Fencing is the fencing number of the shard's owner. Endpoints may reject
	// an order with a lower number than an earlier one.
	Fencing FencingNumber
	// Orderer is the host that sends the order.
	Orderer HostID
}
