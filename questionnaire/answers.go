package questionnaire

import "cicadapitch.example/cicadapitch"

// Answers are the answers of one deployment. Field names in the file are those
// of the struct.
type Answers struct {
	Deployment string
	// Weight lies between 0 (only cost by stage) and 1 (only attainment).
	Weight       *float64
	Zones        []Zone
	Hosts        []Host
	Pools        []Pool
	Applications []Application
	Customers    []Customer
	Operators    []Operator
}

// Zone is an availability zone and the region it lies in.
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
	// ColdSlots and WarmSlots are what one endpoint bears in a cold start
	// and afterwards.
	ColdSlots         cicadapitch.Slots
	WarmSlots         cicadapitch.Slots
	CostPerSlotSecond cicadapitch.Cost
	RecognisesRepeats bool
	ChecksFencing     bool
	ChecksOrderer     bool
	Endpoints         []Endpoint
}

// Endpoint is one back end of a pool.
type Endpoint struct {
	// Name may be left out. It is then made of the pool and the address.
	Name    cicadapitch.EndpointID
	Zone    cicadapitch.ZoneID
	Address string
}

// Application is a program of the team with its pipelines.
type Application struct {
	Name      string
	Pipelines []Pipeline
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name                cicadapitch.PipelineID
	DeadlineMillis      cicadapitch.Millis
	FirstTokenMillis    cicadapitch.Millis
	BetweenTokensMillis cicadapitch.Millis
	Stages              []Stage
}

// Stage is one step of a pipeline.
type Stage struct {
	Name cicadapitch.StageID
	Pool cicadapitch.PoolID
	// NeverRepeat is true where a request may run at most once, such as a
	// booking. It has no default.
	NeverRepeat    *bool
	ExpectedMillis cicadapitch.Millis
	MaxTokens      cicadapitch.Tokens
	Streams        bool
}

// Customer is an organisation that sends requests. It has either Key or
// KeyHash.
type Customer struct {
	Name      cicadapitch.CustomerID
	Share     cicadapitch.Share
	Key       string
	KeyHash   string
	Deadlines []Deadline
}

// Deadline is a customer's own deadline for one pipeline.
type Deadline struct {
	Pipeline       cicadapitch.PipelineID
	DeadlineMillis cicadapitch.Millis
}

// Operator may give orders. It has either Key or KeyHash.
type Operator struct {
	Name    cicadapitch.OperatorID
	Key     string
	KeyHash string
}
