package endpoint

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=Action -json -text -output=action_enumer.go
//go:generate go tool -modfile=../tools/go.mod enumer -type=Cause -json -text -output=cause_enumer.go

// Action is what a Command asks the caller of State to do.
type Action int

// The actions.
const (
	// Start calls the endpoint with the attempt.
	Start Action = iota
	// Refuse rejects an attempt that has not started and never will.
	Refuse
)

// Cause is the reason why an attempt was refused.
type Cause int

// The causes of a refusal.
const (
	// NoCause is the cause in a Start command.
	NoCause Cause = iota
	// Unreachable attempts arrived with a deadline that they were not expected
	// to meet. The cause has nothing to do with the network.
	Unreachable
	// Expired attempts waited until their deadline could no longer be met.
	Expired
	// NoEndpoint attempts arrived at a shard without an endpoint in service.
	NoEndpoint
	// Withdrawn attempts were canceled by their entry host while they waited.
	Withdrawn
	// Overloaded attempts were declined by too many endpoints.
	Overloaded
	// Moved attempts waited for a shard that another host took over.
	Moved
)

// Command is an instruction of State to its caller.
type Command struct {
	Action   Action
	Cause    Cause
	Attempt  cicadapitch.AttemptID
	Endpoint cicadapitch.Endpoint
	// RetryAfter is the retry delay of a refused attempt.
	RetryAfter cicadapitch.Millis
	// Queued is the time that the attempt waited.
	Queued cicadapitch.Millis
}
