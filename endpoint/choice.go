package endpoint

//go:generate go tool -modfile=../tools/go.mod enumer -type=Choice -json -text -output=choice_enumer.go

// Choice says how an endpoint is chosen within its shard.
type Choice int

// The choices.
const (
	// Expected takes the endpoint with the best expected completion and cost.
	Expected Choice = iota
	// LeastOutstanding takes the endpoint with the fewest running calls.
	LeastOutstanding
	// RoundRobin takes the endpoints in turn.
	RoundRobin
)
