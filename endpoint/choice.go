package endpoint

//go:generate go tool -modfile=../tools/go.mod enumer -type=Choice -json -text -output=choice_enumer.go

// Choice is the load-balancing policy that selects an endpoint within a shard.
type Choice int

// The load-balancing policies.
const (
	// Expected selects the endpoint with the lowest combination of expected
	// completion time and cost.
	Expected Choice = iota
	// LeastOutstanding selects the endpoint with the fewest running calls.
	LeastOutstanding
	// RoundRobin selects the endpoints in turn.
	RoundRobin
)
