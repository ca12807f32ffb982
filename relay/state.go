package relay

//go:generate go tool -modfile=../tools/go.mod enumer -type=State -output=state_enumer.go

// State is what a host believes of its path to an endpoint.
type State int

const (
	// Direct means that connections to the endpoint open, or that nothing is known.
	Direct State = iota
	// Relayed means that another host reaches the endpoint while this one does not.
	Relayed
	// Down means that neither this host nor a relay reaches the endpoint.
	Down
)
