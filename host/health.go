package host

//go:generate go tool -modfile=../tools/go.mod enumer -type=Health -output=health_enumer.go

// Health is the state of a host as determined by the failure detectors of the
// other hosts. It is independent of the HostState that the host reports of
// itself. For the same Version of a host the higher Health takes precedence.
type Health uint8

// The values of Health.
const (
	// Alive hosts answer probes.
	Alive Health = iota
	// Suspected hosts have not answered and may still refute the suspicion.
	Suspected
	// Gone hosts have not refuted the suspicion in time, or have left.
	Gone
)
