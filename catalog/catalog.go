package catalog

import (
	"strings"

	"cicadapitch.example/cicadapitch"
)

// ServiceID names a set of interchangeable endpoints.
type ServiceID string

// Catalog is one accepted configuration.
type Catalog struct {
	// Version is the operator's number. It rises in uneven steps.
	Version  int64
	Services map[ServiceID]*Service
	Limits   Limits
	// customers holds the customer of each key.
	customers map[string]*Customer
	// routes holds the routes of each host, longest prefix first.
	routes map[string][]*Route
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout cicadapitch.Millis
	IdleTimeout   cicadapitch.Millis
}

// Customer is a customer and its keys.
type Customer struct {
	Name cicadapitch.CustomerID
	// Priority overrides that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Target is one service of a weighted split.
type Target struct {
	Service ServiceID
	Weight  float64
}

// Route tells how requests of one host and path prefix are served.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RequestKind
	Timeout cicadapitch.Millis
	// TargetLatency is the latency objective: until the answer, or the first event.
	TargetLatency cicadapitch.Millis
	// TargetGap is the longest pause between two events of a timely stream.
	TargetGap   cicadapitch.Millis
	Priority    int
	Targets     []Target
	MaxAttempts int
	Stages      []Stage
	// Anonymous routes take requests without a key.
	Anonymous bool
	// SessionAffinity requests name the model, prompt and session they belong to.
	SessionAffinity bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service ServiceID
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes cicadapitch.Bytes
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           ServiceID
	HealthPath     string
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after its start, and
	// ColdPerSecond the requests a second that it bears meanwhile.
	ColdStart     cicadapitch.Millis
	ColdPerSecond float64
	// Batch is set on services whose endpoints run batches of stage pieces.
	Batch *BatchSpec
	// Engine is set on services of model engines.
	Engine *EngineSpec
}

// BatchSpec describes one endpoint of a stage service.
type BatchSpec struct {
	Slots int
	Queue int
	// Size is the largest number of pieces a call carries.
	Size int
	// CallTime is the fixed time of a call, PieceTime what each piece adds.
	CallTime  cicadapitch.Millis
	PieceTime float64
	// ResultCapacity bounds the results that an endpoint holds.
	ResultCapacity cicadapitch.Bytes
	// ResultTTL is how long an endpoint holds a result that is not freed.
	ResultTTL cicadapitch.Millis
}

// EngineSpec describes one model engine.
type EngineSpec struct {
	Slots    int
	KVTokens cicadapitch.Tokens
}

// Builder collects the parts of a catalog.
type Builder struct{ c *Catalog }

// NewBuilder starts a catalog of the given version.
func NewBuilder(version int64, limits Limits) *Builder {
	return &Builder{c: &Catalog{
		Version:   version,
		Limits:    limits,
		Services:  map[ServiceID]*Service{},
		customers: map[string]*Customer{},
		routes:    map[string][]*Route{},
	}}
}

// AddService adds a service.
func (b *Builder) AddService(s *Service) { b.c.Services[s.Name] = s }

// AddCustomer adds a customer with its keys.
func (b *Builder) AddCustomer(c *Customer, keys ...string) {
	for _, k := range keys {
		b.c.customers[k] = c
	}
}

// AddRoute adds a route.
func (b *Builder) AddRoute(r *Route) {
	list := b.c.routes[r.Host]
	at := len(list)
	for i, o := range list {
		if len(r.Prefix) > len(o.Prefix) {
			at = i
			break
		}
	}
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = r
	b.c.routes[r.Host] = list
}

// Catalog returns the finished catalog.
func (b *Builder) Catalog() *Catalog { return b.c }

// Match returns the route with the longest prefix of path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasCustomers reports whether requests need a key.
func (c *Catalog) HasCustomers() bool { return len(c.customers) > 0 }

// CustomerOf returns the customer that holds key, or nil.
func (c *Catalog) CustomerOf(key string) *Customer { return c.customers[key] }

// Service returns the service that a request goes to. point lies in [0,1) and
// selects one side of a split.
func (r *Route) Service(point float64) ServiceID {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Sinks lists the stages that no other stage follows and that have pieces.
func (r *Route) Sinks(pieces []int) []int {
	followed := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if i < len(pieces) && pieces[i] > 0 {
			for _, a := range s.After {
				followed[a] = true
			}
		}
	}
	var out []int
	for i := range r.Stages {
		if !followed[i] && i < len(pieces) && pieces[i] > 0 {
			out = append(out, i)
		}
	}
	return out
}
