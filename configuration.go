package cicadapitch

// Configuration is the configuration of a deployment, as operators set it. Each
// host applies one revision at a time and accepts only higher revisions.
type Configuration struct {
	Revision Revision
	// Change is the change that produced this revision.
	Change     ChangeID
	Deployment string
	// Weight balances the cost of stages against end-to-end attainment, the
	// fraction of requests that meet their targets.
	Weight    Weight
	Zones     []Zone
	Hosts     []HostSetting
	Pools     []Pool
	Endpoints []Endpoint
	Pipelines []Pipeline
	Customers []Customer
	Operators []Operator
}

// Zone is an availability zone.
type Zone struct {
	ID     ZoneID
	Region RegionID
	// Out is true while an operator has taken the zone out of service.
	Out bool
}

// HostSetting is the configuration of one entry host.
type HostSetting struct {
	ID HostID
	// Out is true while an operator has taken the host out of service.
	Out bool
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	ID   PoolID
	Kind PoolKind
	// Model, Version and Adapters are the model, its version and the adapters that
	// the engines of the pool serve. They are empty for plain services.
	Model    ModelID
	Version  ModelVersion
	Adapters []AdapterID
	// Role is the part of inference that the engines perform, such as prefill
	// or decode. It is empty if they perform all of it.
	Role string
	// Ordered is true once an operator has ordered a model, version, adapters
	// or role for the pool. The rollout leaves the engines of other pools
	// unchanged.
	Ordered bool
	// ColdSlots is the number of slots of an endpoint during a cold start.
	ColdSlots Slots
	// WarmSlots is the number of slots of an endpoint once it is warm.
	WarmSlots Slots
	// CostPerSlotSecond is the cost of keeping one slot busy for a second.
	CostPerSlotSecond Cost
	// RecognisesRepeats is true if the endpoints deduplicate calls by attempt
	// id: a repeated call returns the answer of the first run.
	RecognisesRepeats bool
	// ChecksFencing is true if the endpoints reject orders with an outdated
	// fencing number.
	ChecksFencing bool
	// ChecksOrderer is true if the endpoints verify which host sends an order.
	ChecksOrderer bool
}

// Endpoint is one back end, such as a model replica or a plain service.
type Endpoint struct {
	ID    EndpointID
	Pool  PoolID
	Zone  ZoneID
	Shard ShardID
	// Address is the base URL with an IP address and a port, such as
	// http://10.0.0.1:8000.
	Address string
	// Out is true while an operator has taken the endpoint out of service.
	Out bool
}

// Pipeline is an ordered list of stages that share one deadline.
type Pipeline struct {
	ID PipelineID
	// Deadline is the time allowed for the whole request.
	Deadline Millis
	// FirstToken is the target for the time to first token, or 0 for none.
	FirstToken Millis
	// BetweenTokens is the target for the time between two tokens, or 0 for
	// none.
	BetweenTokens Millis
	Stages        []Stage
}

// Stage is one step of a pipeline.
type Stage struct {
	ID   StageID
	Pool PoolID
	// Idempotent is true if the stage may run more than once for a request.
	Idempotent bool
	// ExpectedMillis is the service time to assume until measurements exist.
	ExpectedMillis Millis
	// MaxTokens limits the tokens that an engine generates, 0 for plain
	// services.
	MaxTokens Tokens
	// Streams is true if the output is streamed to the caller.
	Streams bool
}

// Customer is an organisation that sends requests.
type Customer struct {
	ID CustomerID
	// KeyHash is the hexadecimal SHA-256 of the customer's key.
	KeyHash string
	// Share is the customer's relative weight in fair queuing.
	Share Share
	// Deadlines override the deadlines of pipelines for this customer.
	Deadlines []CustomerDeadline
	// Out is true while an operator has taken the customer out of service.
	Out bool
}

// CustomerDeadline overrides the deadline of one pipeline for one customer.
type CustomerDeadline struct {
	Pipeline PipelineID
	Deadline Millis
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	ID OperatorID
	// KeyHash is the hexadecimal SHA-256 of the operator's key.
	KeyHash string
}

// Pipeline returns the pipeline with the given id and whether it exists.
func (c *Configuration) Pipeline(id PipelineID) (Pipeline, bool) {
	return find(c.Pipelines, func(p Pipeline) bool { return p.ID == id })
}

// Pool returns the pool with the given id and whether it exists.
func (c *Configuration) Pool(id PoolID) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.ID == id })
}

// Customer returns the customer with the given id and whether it exists.
func (c *Configuration) Customer(id CustomerID) (Customer, bool) {
	return find(c.Customers, func(cu Customer) bool { return cu.ID == id })
}

// Zone returns the zone with the given id and whether it exists.
func (c *Configuration) Zone(id ZoneID) (Zone, bool) {
	return find(c.Zones, func(z Zone) bool { return z.ID == id })
}

// DeadlineFor returns the deadline of p for the customer: the customer's own
// deadline if there is one, else that of the pipeline.
func (c *Configuration) DeadlineFor(customer CustomerID, p Pipeline) Millis {
	cu, _ := c.Customer(customer)
	override, ok := find(cu.Deadlines, func(d CustomerDeadline) bool { return d.Pipeline == p.ID })
	if ok {
		return override.Deadline
	}
	return p.Deadline
}

// Shards groups the endpoints by shard. The shards are in the order of their
// first endpoints. All endpoints of a shard have the same pool and zone; a shard
// takes these from its first endpoint.
func (c *Configuration) Shards() []Shard {
	var shards []Shard
	index := make(map[ShardID]int)
	for _, e := range c.Endpoints {
		i, ok := index[e.Shard]
		if !ok {
			i = len(shards)
			index[e.Shard] = i
			shards = append(shards, Shard{ID: e.Shard, Pool: e.Pool, Zone: e.Zone})
		}
		shards[i].Endpoints = append(shards[i].Endpoints, e)
	}
	return shards
}

// Shard is a group of endpoints of one pool and one zone that a single host
// owns at a time.
type Shard struct {
	ID        ShardID
	Pool      PoolID
	Zone      ZoneID
	Endpoints []Endpoint
}

// find returns the first item that matches and whether there is one.
func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, v := range items {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
