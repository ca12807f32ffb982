package catalog

//go:generate go tool -modfile=../tools/go.mod enumer -type=RequestKind -text -output=requestkind_enumer.go

// RequestKind classifies requests by whether they may run more than once.
type RequestKind int

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe RequestKind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered with a stream of events. They run at most
	// once unless their route is resumable.
	Streaming
)
