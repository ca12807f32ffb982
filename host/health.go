package host

//go:generate go tool -modfile=../tools/go.mod enumer -type=Health -output=health_enumer.go

// Health is what the others think of a host. It is apart from the state that
// the host claims for itself. Within one Version the higher value is valid.
type Health uint8

// The values of Health.
const (
	// Alive hosts answer.
	Alive Health = iota
	// Suspected hosts did not answer and may still refute it.
	Suspected
	// Gone hosts did not refute the suspicion in time.
	Gone
)
