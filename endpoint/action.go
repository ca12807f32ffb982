package endpoint

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=Action -json -text -output=action_enumer.go
//go:generate go tool -modfile=../tools/go.mod enumer -type=Cause -json -text -output=cause_enumer.go

// Action says what a Command asks the shell to do.
type Action int

// The actions.
const (
	// Start asks for the call of an attempt to an endpoint.
	Start Action = iota
	// Refuse asks to answer an attempt that did not start and never will.
	Refuse
)

// Cause says why an attempt was refused.
type Cause int

// The causes of a refusal.
const (
	// NoCause is the cause of a command that refuses nothing.
	NoCause Cause = iota
	// Unreachable attempts could not have met their deadline on arrival.
	Unreachable
	// Expired attempts waited until their deadline could no longer be met.
	Expired
	// NoEndpoint attempts found no endpoint in service.
	NoEndpoint
	// Withdrawn attempts were canceled by their entry host while they waited.
	Withdrawn
	// Overloaded attempts were refused by the endpoints themselves.
	Overloaded
	// Moved attempts waited for a shard that another host took over.
	Moved
)

// Command is what State wants done. It is valid until the next message.
type Command struct {
	Action   Action
	Cause    Cause
	Attempt  cicadapitch.AttemptID
	Endpoint cicadapitch.Endpoint
	// RetryAfter is set on refusals.
	RetryAfter cicadapitch.Millis
	// Queued is the span the attempt waited.
	Queued cicadapitch.Millis
}
