package cicadapitch

import "context"

// Call is one call to an endpoint.
type Call struct {
	Attempt  AttemptID
	Customer CustomerID
	Endpoint Endpoint
	Model    ModelID
	Input    string
	Prefix   string
	Resume   string
	// MaxTokens bounds the whole output, Resume included.
	MaxTokens Tokens
	Priority  int
	Timeout   Millis
	// Fencing is the owner's number for the shard.
	Fencing FencingNumber
}

// CallResult is the whole answer of an endpoint.
type CallResult struct {
	Output string
	Tokens Tokens
	// FirstToken is the span until the first chunk came.
	FirstToken Millis
}

// LoadReport is what an endpoint last reported about itself. It lags.
type LoadReport struct {
	Running Slots
	Waiting int
	// Cold is true while the endpoint says it is in a cold start.
	Cold bool
	// Leaving is true once the endpoint has been asked to stop.
	Leaving bool
	// At is when the endpoint took the reading, by its own clock, or 0.
	At Instant
	// CachedPrefixes are prefixes known to be cached, from cache events.
	CachedPrefixes []string
}

// Driver speaks to the endpoints of one kind of pool.
type Driver interface {
	// Call makes the call and passes on text as it comes. A NotRun error
	// means that not one byte was written to the endpoint, or that the
	// endpoint itself said that it did not start. Any other failure of a
	// call that had begun is OutcomeUnknown.
	Call(ctx context.Context, c Call, sink func(text string)) (CallResult, error)
	// Load reads the endpoint's load report.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// Order orders the endpoint to load or unload or to change its role.
	Order(ctx context.Context, e Endpoint, o EndpointOrder) error
}

// EndpointOrder changes what an engine serves.
type EndpointOrder struct {
	Model    ModelID
	Version  ModelVersion
	Adapters []AdapterID
	Role     string
	Fencing  FencingNumber
	Orderer  HostID
}
