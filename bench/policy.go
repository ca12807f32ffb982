package bench

import "cicadapitch.example/cicadapitch/endpoint"

// Policy is what decides in a run.
type Policy struct {
	// Endpoint steers the shards.
	Endpoint endpoint.Policy
	// Shards says how an entry host chooses a shard.
	Shards endpoint.Choice
	// Admission is false where entry hosts admit every request.
	Admission bool
	// BoundedRetries is false where attempts are retried at once and without a
	// budget until the deadline.
	BoundedRetries bool
}

// Variant is a named policy.
type Variant struct {
	Name   string
	Policy Policy
}

// Standard is the name of the policy that the daemon uses.
const Standard = "standard"

// Variants returns the standard policy and the baselines beside it. Each
// baseline is the standard policy with one mechanism replaced.
func Variants() []Variant {
	return []Variant{
		variant(Standard, func(*Policy) {}),
		variant("round robin", func(p *Policy) {
			p.Shards = endpoint.RoundRobin
			p.Endpoint.Choice = endpoint.RoundRobin
		}),
		variant("least outstanding", func(p *Policy) {
			p.Shards = endpoint.LeastOutstanding
			p.Endpoint.Choice = endpoint.LeastOutstanding
		}),
		variant("no admission", func(p *Policy) {
			p.Admission = false
			p.Endpoint.Admission = false
		}),
		variant("unlimited retries", func(p *Policy) { p.BoundedRetries = false }),
		variant("no slow start", func(p *Policy) { p.Endpoint.SlowStart = false }),
		variant("no fair shares", func(p *Policy) { p.Endpoint.Quantum = unfair }),
	}
}

// unfair is a quantum that no customer uses up, so that only deadlines count.
const unfair = 1e15

func variant(name string, change func(*Policy)) Variant {
	p := Policy{Endpoint: endpoint.StandardPolicy(), Admission: true, BoundedRetries: true}
	change(&p)
	return Variant{Name: name, Policy: p}
}
