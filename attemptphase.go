package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=AttemptPhase -json -text -output=attemptphase_enumer.go

// AttemptPhase is the execution phase of an attempt.
type AttemptPhase int

// The phases of an attempt.
const (
	// Refused attempts were rejected before they started and will never start.
	Refused AttemptPhase = iota
	// Queued attempts wait for a free slot at an endpoint.
	Queued
	// Running attempts have been sent to an endpoint.
	Running
	// Done attempts completed and have a result.
	Done
	// Failed attempts ended without a result.
	Failed
)
