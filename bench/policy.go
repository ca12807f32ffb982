package bench

import "cicadapitch.example/cicadapitch/endpoint"

// Policy selects the mechanisms of a run.
type Policy struct {
	// Endpoint is the policy of the shard owners.
	Endpoint endpoint.Policy
	// Shards is how an entry host chooses a shard.
	Shards endpoint.Choice
	// Admission is false if entry hosts admit every request.
	Admission bool
	// BoundedRetries is false if attempts are retried until the deadline
	// without a backoff or a retry budget.
	BoundedRetries bool
}

// Variant is a named policy.
type Variant struct {
	Name   string
	Policy Policy
}

// Standard is the name of the policy that the daemon uses.
const Standard = "standard"

// Variants returns the standard policy, followed by baselines that each replace
// one mechanism of it.
func Variants() []Variant {
	return []Variant{
		newVariant(Standard, func(*Policy) {}),
		newVariant("round robin", func(p *Policy) {
			p.Shards = endpoint.RoundRobin
			p.Endpoint.Choice = endpoint.RoundRobin
		}),
		newVariant("least outstanding", func(p *Policy) {
			p.Shards = endpoint.LeastOutstanding
			p.Endpoint.Choice = endpoint.LeastOutstanding
		}),
		newVariant("no admission", func(p *Policy) {
			p.Admission = false
			p.Endpoint.Admission = false
		}),
		newVariant("unlimited retries", func(p *Policy) { p.BoundedRetries = false }),
		newVariant("no slow start", func(p *Policy) { p.Endpoint.SlowStart = false }),
		newVariant("no fair shares", func(p *Policy) { p.Endpoint.Quantum = unlimitedQuantum }),
	}
}

// unlimitedQuantum is a quantum that no customer uses up, so that the scheduler
// ignores fair shares and considers only deadlines.
const unlimitedQuantum = 1e15

// newVariant returns the standard policy with a change.
func newVariant(name string, change func(*Policy)) Variant {
	p := Policy{Endpoint: endpoint.StandardPolicy(), Admission: true, BoundedRetries: true}
	change(&p)
	return Variant{Name: name, Policy: p}
}
