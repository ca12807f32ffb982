package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=Kind -json -text -output=kind_enumer.go

// Kind classifies an error by what the receiver may do next.
type Kind int

// The kinds of errors.
const (
	// Internal reports a fault of the system itself.
	Internal Kind = iota
	// Invalid reports bad input. Sending it again does not help.
	Invalid
	// Denied reports a missing or wrong key, or a right that the key lacks.
	Denied
	// NotFound reports an unknown name.
	NotFound
	// NotRun reports work that did not start and never will. It is safe to
	// send it again after RetryAfter.
	NotRun
	// OutcomeUnknown reports work that may or may not have run. It must not
	// be sent again without looking up the outcome.
	OutcomeUnknown
	// DeadlineExceeded reports idempotent work that ended before its answer
	// was whole.
	DeadlineExceeded
	// Conflict reports a compare-and-swap that found another value.
	Conflict
	// Unavailable reports a platform service that gave no answer. The call
	// had no effect.
	Unavailable
	// Redirected reports a shard that another host owns. The work did not
	// start on the answering host.
	Redirected
)
