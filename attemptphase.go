package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=AttemptPhase -json -text -output=attemptphase_enumer.go

// AttemptPhase is how far an attempt has come.
type AttemptPhase int

// The phases of an attempt.
const (
	// Refused attempts did not start and never will.
	Refused AttemptPhase = iota
	// Queued attempts wait for a slot.
	Queued
	// Running attempts have been sent to an endpoint.
	Running
	// Done attempts have a result.
	Done
	// Failed attempts ended without a result.
	Failed
)
