package catalog

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// ServiceID identifies a service, a set of interchangeable endpoints.
type ServiceID string

// Catalog is one accepted version of the operator's configuration.
type Catalog struct {
	// Version is the operator's version number. It increases, but not always
	// by 1.
	Version  int64
	Services map[ServiceID]*Service
	Limits   Limits
	// KeysRequired is set if the configuration has customers, even if none of them has an API
	// key. Requests then need an API key, unless their route is anonymous.
	KeysRequired bool
	// customers maps each API key to its customer.
	customers table[string, *Customer]
	routes    table[RouteKey, *Route]
	// longestPrefix is at least the length of the longest path prefix.
	longestPrefix int
	// digest is the checksum of the contents, see Change.Digest.
	digest uint64
}

// RouteKey identifies a route: its host name and path prefix.
type RouteKey struct{ Host, Prefix string }

// Limits are the limits on a caller's HTTP request and connection. A size of 0
// means no limit, a timeout of 0 the default of the server.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout cicadapitch.Millis
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout cicadapitch.Millis
}

// Customer holds the settings of one customer. The API keys are in Catalog.
type Customer struct {
	Name cicadapitch.CustomerID
	// Priority, 0 being the most urgent, overrides the priority of the route if
	// HasPriority is set.
	Priority    int
	HasPriority bool
}

// WeightedService is one service of a weighted traffic split.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// Route defines how requests for one host name and path prefix are served.
type Route struct {
	Name string
	// Host is the host name in lower case.
	Host string
	// Prefix is the path prefix.
	Prefix string
	Kind   RequestKind
	// Timeout bounds the whole request, 0 for no limit.
	Timeout cicadapitch.Millis
	// TargetLatency is the target for the time to the answer, or to the first
	// event of a stream.
	TargetLatency cicadapitch.Millis
	// TargetGap is the target for the longest time between two events of a
	// stream.
	TargetGap cicadapitch.Millis
	// Priority is the priority of the requests, 0 being the most urgent.
	Priority int
	// TrafficSplit has at least one entry. Requests are distributed by weight.
	TrafficSplit []WeightedService
	// MaxAttempts is the maximum number of attempts at a request, including the
	// first.
	MaxAttempts int
	// Stages must end before the request itself runs. Stage numbers elsewhere are
	// indices into this list.
	Stages []Stage
	// Anonymous routes accept requests without an API key.
	Anonymous bool
	// SessionAffinity is set if the requests carry a prompt whose prefix selects the
	// engine.
	SessionAffinity bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Stage is preparatory work that must be completed before a request can run.
type Stage struct {
	Service ServiceID
	// After lists the indices of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes cicadapitch.Bytes
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name ServiceID
	// HealthPath holds health_path of the configuration. Nothing applies it.
	HealthPath string
	// MaxConnections is the number of connections that each endpoint accepts from all hosts
	// together, or 0 if that is not known.
	MaxConnections int
	// ColdStart is how long the cold start of an endpoint takes, and
	// ColdPerSecond the request rate that the endpoint can handle during it.
	ColdStart     cicadapitch.Millis
	ColdPerSecond float64
	// Batch is set if the endpoints run batches of stage pieces.
	Batch *BatchSpec
	// Engine is set if the endpoints are model engines.
	Engine *EngineSpec
}

// BatchSpec describes the capacity of each endpoint of a stage service.
type BatchSpec struct {
	// Slots is the number of concurrent calls.
	Slots int
	// MaxQueuedCalls is the number of calls that can wait for a slot.
	MaxQueuedCalls int
	// MaxPieces is the maximum number of pieces per call.
	MaxPieces int
	// CallTime is the fixed time of a call and PieceTime the time that each
	// piece adds, in milliseconds.
	CallTime  cicadapitch.Millis
	PieceTime float64
	// ResultCapacity is the memory that an endpoint has for results.
	ResultCapacity cicadapitch.Bytes
	// ResultTTL is how long an endpoint keeps a result that is not freed.
	ResultTTL cicadapitch.Millis
}

// EngineSpec describes the capacity of each endpoint of an engine service.
type EngineSpec struct {
	// Slots is the number of concurrent requests.
	Slots int
	// KVCapacityTokens is the number of tokens that fit in the KV cache.
	KVCapacityTokens cicadapitch.Tokens
}

// Key returns the key of the route.
func (r *Route) Key() RouteKey { return RouteKey{r.Host, r.Prefix} }

// Match returns the route of host with the longest prefix that matches path, or
// nil if none matches. host must be in lower case and without a port.
func (c *Catalog) Match(host, path string) *Route {
	path = path[:min(len(path), c.longestPrefix)]
	for {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return nil
		}
		if r, ok := c.routes.get(RouteKey{host, path[:i+1]}); ok {
			return r
		}
		path = path[:i]
	}
}

// Routes returns the number of routes.
func (c *Catalog) Routes() int { return c.routes.size }

// Keys returns the number of API keys.
func (c *Catalog) Keys() int { return c.customers.size }

// CustomerOf returns the customer with the given API key, or nil.
func (c *Catalog) CustomerOf(key string) *Customer {
	customer, _ := c.customers.get(key)
	return customer
}

// Authenticate returns the customer whose request for a route has the given API key, which is
// empty if there is none. The customer is nil if the route needs no key. ok is false if it
// needs one and key is not that of a customer.
func (c *Catalog) Authenticate(r *Route, key string) (customer *Customer, ok bool) {
	if !c.KeysRequired || r.Anonymous {
		return nil, true
	}
	customer = c.CustomerOf(key)
	return customer, customer != nil
}

// Allows reports whether the route leads to a service.
func (r *Route) Allows(s ServiceID) bool {
	return slices.ContainsFunc(r.TrafficSplit, func(w WeightedService) bool { return w.Service == s })
}

// Services returns the services that the route leads to.
func (r *Route) Services() []ServiceID {
	return lo.Uniq(lo.Map(r.TrafficSplit, func(w WeightedService, _ int) ServiceID { return w.Service }))
}

// ChooseService chooses one of the services in TrafficSplit by weight. point is a
// random number in [0,1).
func (r *Route) ChooseService(point float64) ServiceID {
	total := 0.0
	for _, t := range r.TrafficSplit {
		total += t.Weight
	}
	point *= total
	for _, t := range r.TrafficSplit {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// HasStageCycle reports whether a stage depends on itself over others, so that none of them can
// run.
func (r *Route) HasStageCycle() bool {
	done := make([]bool, len(r.Stages))
	for range r.Stages {
		for i, s := range r.Stages {
			done[i] = lo.EveryBy(s.After, func(dep int) bool { return done[dep] })
		}
	}
	return slices.Contains(done, false)
}

// FinalStages returns the indices of the final stages of a request: those that
// have pieces and whose results no other stage with pieces needs. pieces holds the
// number of pieces of each stage.
func (r *Route) FinalStages(pieces []int) []int {
	needed := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if i < len(pieces) && pieces[i] > 0 {
			for _, a := range s.After {
				needed[a] = true
			}
		}
	}
	var final []int
	for i := range r.Stages {
		if !needed[i] && i < len(pieces) && pieces[i] > 0 {
			final = append(final, i)
		}
	}
	return final
}
