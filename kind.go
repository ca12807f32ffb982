package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=Kind -json -text -output=kind_enumer.go

// Kind classifies an error by how the receiver may react to it.
type Kind int

// The kinds of errors.
const (
	// Internal is a fault of the system itself.
	Internal Kind = iota
	// Invalid is an error in the input. A retry fails again.
	Invalid
	// Denied is a missing or wrong key, or a key without the required
	// permission.
	Denied
	// NotFound is an unknown name.
	NotFound
	// NotRun is work that did not start and never will. A retry after
	// RetryAfter is safe.
	NotRun
	// OutcomeUnknown is work that may or may not have run. The caller must
	// look up the outcome before a retry.
	OutcomeUnknown
	// DeadlineExceeded is idempotent work that was stopped before its answer
	// was complete.
	DeadlineExceeded
	// Conflict is a compare-and-swap that found another value than expected.
	Conflict
	// Unavailable is a platform service that could not be reached or
	// rejected the call. The call had no effect.
	Unavailable
	// Redirected is work for a shard that another host owns. It did not start
	// on the answering host.
	Redirected
)
