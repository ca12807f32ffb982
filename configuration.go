package cicadapitch

// Configuration is everything that operators decide. One Revision of it is in
// force on every host; a host takes only higher revisions.
type Configuration struct {
	Revision   Revision
	Change     ChangeID
	Deployment string
	// Weight balances cost by stage against attainment.
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
	// Out is true while operators have taken the zone out of service.
	Out bool
}

// HostSetting is what operators decide about one entry host.
type HostSetting struct {
	ID  HostID
	Out bool
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	ID   PoolID
	Kind PoolKind
	// Model, Version and Adapters say what the engines of the pool serve.
	Model    ModelID
	Version  ModelVersion
	Adapters []AdapterID
	// Role says what the engines of the pool do, such as prefill or decode;
	// empty for everything.
	Role string
	// Ordered is true once operators have ordered what the engines serve.
	// Engines of other pools are left as they were set up.
	Ordered bool
	// ColdSlots is what an endpoint bears in a cold start.
	ColdSlots Slots
	// WarmSlots is what an endpoint bears once it is warm.
	WarmSlots Slots
	// CostPerSlotSecond is the cost of one busy slot for a second.
	CostPerSlotSecond Cost
	// RecognisesRepeats is true where endpoints run one attempt id at most
	// once themselves.
	RecognisesRepeats bool
	// ChecksFencing is true where endpoints refuse orders with an old
	// fencing number.
	ChecksFencing bool
	// ChecksOrderer is true where endpoints check who gives them an order.
	ChecksOrderer bool
}

// Endpoint is one back end.
type Endpoint struct {
	ID    EndpointID
	Pool  PoolID
	Zone  ZoneID
	Shard ShardID
	// Address is the base URL with an IP number and a port.
	Address string
	// Out is true while operators have taken the endpoint out of service.
	Out bool
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	ID       PipelineID
	Deadline Millis
	// FirstToken is the target for the first token, 0 for none.
	FirstToken Millis
	// BetweenTokens is the target between two tokens, 0 for none.
	BetweenTokens Millis
	Stages        []Stage
}

// Stage is one step of a pipeline.
type Stage struct {
	ID   StageID
	Pool PoolID
	// Idempotent is true where the stage may be run again.
	Idempotent bool
	// ExpectedMillis is the service time to plan with before measurements
	// exist.
	ExpectedMillis Millis
	// MaxTokens bounds what an engine generates, 0 for plain services.
	MaxTokens Tokens
	// Streams is true where the output is passed to the caller as it comes.
	Streams bool
}

// Customer is an organisation that sends requests.
type Customer struct {
	ID CustomerID
	// KeyHash is the SHA-256 of the customer's key in hexadecimal.
	KeyHash string
	// Share divides a contended capacity.
	Share Share
	// Deadlines replace a pipeline's deadline for this customer.
	Deadlines []CustomerDeadline
	// Out is true while operators have taken the customer out of service.
	Out bool
}

// CustomerDeadline is one customer's own deadline for one pipeline.
type CustomerDeadline struct {
	Pipeline PipelineID
	Deadline Millis
}

// Operator may give orders.
type Operator struct {
	ID OperatorID
	// KeyHash is the SHA-256 of the operator's key in hexadecimal.
	KeyHash string
}

// Pipeline returns the named pipeline.
func (c *Configuration) Pipeline(id PipelineID) (Pipeline, bool) {
	return find(c.Pipelines, func(p Pipeline) bool { return p.ID == id })
}

// Pool returns the named pool.
func (c *Configuration) Pool(id PoolID) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.ID == id })
}

// Customer returns the named customer.
func (c *Configuration) Customer(id CustomerID) (Customer, bool) {
	return find(c.Customers, func(p Customer) bool { return p.ID == id })
}

// Zone returns the named zone.
func (c *Configuration) Zone(id ZoneID) (Zone, bool) {
	return find(c.Zones, func(z Zone) bool { return z.ID == id })
}

// DeadlineFor returns the deadline of a pipeline for a customer.
func (c *Configuration) DeadlineFor(customer CustomerID, p Pipeline) Millis {
	cu, _ := c.Customer(customer)
	own, ok := find(cu.Deadlines, func(d CustomerDeadline) bool { return d.Pipeline == p.ID })
	if ok {
		return own.Deadline
	}
	return p.Deadline
}

// Shards groups the endpoints by shard, in the order of their first endpoint.
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

// Shard is a group of endpoints with a single owner.
type Shard struct {
	ID        ShardID
	Pool      PoolID
	Zone      ZoneID
	Endpoints []Endpoint
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var none T
	return none, false
}
