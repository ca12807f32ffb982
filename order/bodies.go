package order

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// ChangeField is the part that all bodies share: the change id.
type ChangeField struct {
	Change cicadapitch.ChangeID `json:"Change" minLength:"8" maxLength:"128" doc:"Minted by the sender; the same id is applied once at most"`
}

// ZoneOrder takes a zone out of service or back in.
type ZoneOrder struct {
	ChangeField
	Zone  cicadapitch.ZoneID `json:"Zone" minLength:"1"`
	Out   bool               `json:"Out"`
	Force bool               `json:"Force,omitempty" doc:"Take it out even if nothing is left in service"`
}

func (o ZoneOrder) toOrder() Order {
	return Order{o.Change, serviceSummary("zone", string(o.Zone), o.Out), SetZoneOut(o.Zone, o.Out, o.Force)}
}

// HostOrder takes an entry host out of service or back in.
type HostOrder struct {
	ChangeField
	Host  cicadapitch.HostID `json:"Host" minLength:"1"`
	Out   bool               `json:"Out"`
	Force bool               `json:"Force,omitempty" doc:"Take it out even if nothing is left in service"`
}

func (o HostOrder) toOrder() Order {
	return Order{o.Change, serviceSummary("host", string(o.Host), o.Out), SetHostOut(o.Host, o.Out, o.Force)}
}

// EndpointOrder takes an endpoint out of service or back in. It differs from
// cicadapitch.EndpointOrder, which tells an engine its model.
type EndpointOrder struct {
	ChangeField
	Endpoint cicadapitch.EndpointID `json:"Endpoint" minLength:"1"`
	Out      bool                   `json:"Out"`
	Force    bool                   `json:"Force,omitempty" doc:"Take it out even if nothing is left in service"`
}

func (o EndpointOrder) toOrder() Order {
	return Order{o.Change, serviceSummary("endpoint", string(o.Endpoint), o.Out), SetEndpointOut(o.Endpoint, o.Out, o.Force)}
}

// serviceSummary returns the summary of an order that takes an element out of
// service or back in.
func serviceSummary(kind, name string, out bool) string {
	if out {
		return fmt.Sprintf("%s %s out of service", kind, name)
	}
	return fmt.Sprintf("%s %s back in service", kind, name)
}

// PipelineOrder creates or changes a pipeline.
type PipelineOrder struct {
	ChangeField
	Action   Action               `json:"Action" enum:"Create,Replace"`
	Pipeline cicadapitch.Pipeline `json:"Pipeline"`
}

func (o PipelineOrder) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("pipeline %s: %s", o.Pipeline.ID, o.Action),
		SetPipeline(o.Action, o.Pipeline),
	}
}

// PipelineRemoval removes a pipeline.
type PipelineRemoval struct {
	ChangeField
	Pipeline cicadapitch.PipelineID `json:"Pipeline" minLength:"1"`
}

func (o PipelineRemoval) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("pipeline %s: %s", o.Pipeline, Remove),
		SetPipeline(Remove, cicadapitch.Pipeline{ID: o.Pipeline}),
	}
}

// CustomerOrder creates or changes a customer. Replace keeps the customer's
// KeyHash, Share and Deadlines if the order has none.
type CustomerOrder struct {
	ChangeField
	Action   Action               `json:"Action" enum:"Create,Replace"`
	Customer cicadapitch.Customer `json:"Customer"`
}

func (o CustomerOrder) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("customer %s: %s", o.Customer.ID, o.Action),
		SetCustomer(o.Action, o.Customer),
	}
}

// CustomerServiceOrder takes a customer out of service or back in.
type CustomerServiceOrder struct {
	ChangeField
	Customer cicadapitch.CustomerID `json:"Customer" minLength:"1"`
	Out      bool                   `json:"Out"`
}

func (o CustomerServiceOrder) toOrder() Order {
	return Order{
		o.Change, serviceSummary("customer", string(o.Customer), o.Out),
		SetCustomerOut(o.Customer, o.Out),
	}
}

// CustomerRemoval removes a customer.
type CustomerRemoval struct {
	ChangeField
	Customer cicadapitch.CustomerID `json:"Customer" minLength:"1"`
}

func (o CustomerRemoval) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("customer %s: %s", o.Customer, Remove),
		SetCustomer(Remove, cicadapitch.Customer{ID: o.Customer}),
	}
}

// DeadlineOrder sets a customer's deadline for a pipeline, overriding the deadline
// of the pipeline. Deadline 0 removes it.
type DeadlineOrder struct {
	ChangeField
	Customer cicadapitch.CustomerID `json:"Customer" minLength:"1"`
	Pipeline cicadapitch.PipelineID `json:"Pipeline" minLength:"1"`
	Deadline cicadapitch.Millis     `json:"Deadline" minimum:"0" doc:"Milliseconds; 0 gives the pipeline's own"`
}

func (o DeadlineOrder) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("deadline of customer %s for %s: %d ms", o.Customer, o.Pipeline, o.Deadline),
		SetDeadline(o.Customer, cicadapitch.CustomerDeadline{Pipeline: o.Pipeline, Deadline: o.Deadline}),
	}
}

// ModelOrder sets the model, version, adapters and role of a pool of engines.
type ModelOrder struct {
	ChangeField
	Pool     cicadapitch.PoolID       `json:"Pool" minLength:"1"`
	Model    cicadapitch.ModelID      `json:"Model" minLength:"1"`
	Version  cicadapitch.ModelVersion `json:"Version,omitempty"`
	Adapters []cicadapitch.AdapterID  `json:"Adapters,omitempty"`
	Role     string                   `json:"Role,omitempty"`
}

func (o ModelOrder) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("pool %s: model %s version %s", o.Pool, o.Model, o.Version),
		SetModel(Model{o.Pool, o.Model, o.Version, o.Adapters, o.Role}),
	}
}

// ConfigurationOrder replaces the whole configuration if Base is the current
// revision.
type ConfigurationOrder struct {
	ChangeField
	Base          cicadapitch.Revision      `json:"Base" minimum:"0" doc:"Revision that this configuration is meant to follow"`
	Configuration cicadapitch.Configuration `json:"Configuration"`
}

func (o ConfigurationOrder) toOrder() Order {
	return Order{
		o.Change, fmt.Sprintf("configuration of %s on revision %d", o.Configuration.Deployment, o.Base),
		SetConfiguration(o.Base, o.Configuration),
	}
}
