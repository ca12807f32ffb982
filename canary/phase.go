package canary

//go:generate go tool -modfile=../tools/go.mod enumer -type=Phase -json -text -output=phase_enumer.go

// Phase is the phase of a rollout. Its numbers are part of the messages between hosts.
type Phase int

// The phases of a rollout.
const (
	// Canary sends a small share of the requests to the new version.
	Canary Phase = iota
	// Shift sends all new requests to the new version, while the requests at the old one finish.
	Shift
	// Completed is final: nothing runs at the old version.
	Completed
	// RolledBack is final: the new version gets no requests.
	RolledBack
)

// Final reports whether a rollout in phase p is decided.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }
