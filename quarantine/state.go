package quarantine

//go:generate go tool -modfile=../tools/go.mod enumer -type=State -text -output=state_enumer.go

// State is what is believed of a part of prompts.
type State int

// The states of a part.
const (
	// Clear parts have no crash that counts.
	Clear State = iota
	// Suspected parts were in a request whose endpoint crashed, and in no answer since.
	// One request with such a part is sent at a time.
	Suspected
	// Quarantined parts crash endpoints. No request with one is sent.
	Quarantined
)
