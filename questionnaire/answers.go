package questionnaire

import "cicadapitch.example/cicadapitch"

// Answers are the answers for one deployment. The fields in the file have the
// names of the struct fields.
type Answers struct {
	Deployment string
	// Weight is a number from 0 to 1: 0 optimizes only the cost by stage, 1 only
	// the end-to-end attainment. It has no default.
	Weight       *float64
	Zones        []Zone
	Hosts        []Host
	Pools        []Pool
	Applications []Application
	Customers    []Customer
	Operators    []Operator
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   cicadapitch.ZoneID
	Region cicadapitch.RegionID
}

// Host is an entry host.
type Host struct {
	Name cicadapitch.HostID
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name     cicadapitch.PoolID
	Kind     *cicadapitch.PoolKind
	Model    cicadapitch.ModelID
	Version  cicadapitch.ModelVersion
	Adapters []cicadapitch.AdapterID
	// ColdSlots and WarmSlots are the numbers of requests that one endpoint can
	// serve at the same time during and after a cold start.
	ColdSlots cicadapitch.Slots
	WarmSlots cicadapitch.Slots
	// CostPerSlotSecond is the cost of one busy slot for a second, in any unit
	// that is the same for all pools.
	CostPerSlotSecond cicadapitch.Cost
	// RecognisesRepeats is true if an endpoint runs each attempt id at most once.
	RecognisesRepeats bool
	// ChecksFencing is true if an endpoint refuses orders with an old fencing
	// number.
	ChecksFencing bool
	// ChecksOrderer is true if an endpoint checks who gives it an order.
	ChecksOrderer bool
	Endpoints     []Endpoint
}

// Endpoint is one back end of a pool.
type Endpoint struct {
	// Name is optional. The default consists of the pool name and the address.
	Name cicadapitch.EndpointID
	Zone cicadapitch.ZoneID
	// Address is a base URL with an IP address and a port.
	Address string
}

// Application groups the pipelines of one program that sends requests.
type Application struct {
	Name      string
	Pipelines []Pipeline
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name cicadapitch.PipelineID
	// DeadlineMillis is the time within which the whole answer is due.
	DeadlineMillis cicadapitch.Millis
	// FirstTokenMillis and BetweenTokensMillis are targets for streams, 0 for
	// no target.
	FirstTokenMillis    cicadapitch.Millis
	BetweenTokensMillis cicadapitch.Millis
	Stages              []Stage
}

// Stage is one step of a pipeline.
type Stage struct {
	Name cicadapitch.StageID
	Pool cicadapitch.PoolID
	// NeverRepeat is true if a request may run at most once, such as a booking.
	// It has no default.
	NeverRepeat *bool
	// ExpectedMillis is the usual service time.
	ExpectedMillis cicadapitch.Millis
	// MaxTokens is the maximum number of tokens that the stage generates. It is
	// required for engine pools.
	MaxTokens cicadapitch.Tokens
	// Streams is true if callers receive the output while it is generated.
	Streams bool
}

// Customer is an organization that sends requests. It has either Key or KeyHash,
// the hexadecimal SHA-256 of the key.
type Customer struct {
	Name cicadapitch.CustomerID
	// Share is the customer's relative share of contended capacity.
	Share   cicadapitch.Share
	Key     string
	KeyHash string
	// Deadlines replace the deadlines of pipelines for this customer.
	Deadlines []Deadline
}

// Deadline is a customer's own deadline for one pipeline.
type Deadline struct {
	Pipeline       cicadapitch.PipelineID
	DeadlineMillis cicadapitch.Millis
}

// Operator is a person or program that may give orders. It has either Key or
// KeyHash, the hexadecimal SHA-256 of the key.
type Operator struct {
	Name    cicadapitch.OperatorID
	Key     string
	KeyHash string
}
