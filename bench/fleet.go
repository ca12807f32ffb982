package bench

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// Fleet describes a deployment for the bench.
type Fleet struct {
	Name  string
	Hosts int
	Zones int
	// ShardSize is the maximum number of endpoints in a shard.
	ShardSize int
	Pools     []fleetPool
	Pipelines []fleetPipeline
	// Customers holds the fraction of the load that each customer sends.
	Customers []float64
	Weight    cicadapitch.Weight
}

// fleetPool describes a pool: the number of its endpoints, the slots of an
// endpoint, the cost of a slot per second and the service times.
type fleetPool struct {
	id        cicadapitch.PoolID
	kind      cicadapitch.PoolKind
	count     int
	coldSlots cicadapitch.Slots
	warmSlots cicadapitch.Slots
	cost      cicadapitch.Cost
	latency   latencyModel
}

// fleetPipeline describes a pipeline and the fraction of requests that use it.
type fleetPipeline struct {
	id        cicadapitch.PipelineID
	loadShare float64
	stages    []fleetStage
}

// fleetStage describes a stage. tokens is the maximum number of tokens to
// generate, 0 for a plain service.
type fleetStage struct {
	pool        cicadapitch.PoolID
	tokens      cicadapitch.Tokens
	neverRepeat bool
}

const (
	languageModelPool cicadapitch.PoolID = "lm"
	bookingPool       cicadapitch.PoolID = "booking"

	// deadline applies to all pipelines.
	deadline = 9 * cicadapitch.Second
	// prefixesPerCustomer is the number of prompt prefixes that each customer
	// uses.
	prefixesPerCustomer = 30
	// minOutputRatio and meanOutputRatio are the least and the mean number of
	// generated tokens, as a fraction of the requested maximum.
	minOutputRatio  = 0.6
	meanOutputRatio = 0.8
)

func languageModelLatency() latencyModel {
	return latencyModel{
		First: 400, FirstCached: 120, PerToken: 25, BatchSlowdown: 0.8, ColdSlowdown: 2.5,
		WarmUp: 4 * cicadapitch.Second, WarmUpCalls: 4, Prefixes: 24,
	}
}

func serviceLatency(ms float64) latencyModel {
	return latencyModel{First: ms, FirstCached: ms, BatchSlowdown: 0.5, ColdSlowdown: 2, WarmUp: 2 * cicadapitch.Second, WarmUpCalls: 4}
}

// Verbund returns the fleet of the Windkanal-Verbund.
func Verbund() Fleet {
	return Fleet{
		Name: "Verbund", Hosts: 6, Zones: 3, ShardSize: 16, Weight: 0.25,
		Pools: []fleetPool{
			{id: "archive", count: 5, coldSlots: 2, warmSlots: 16, cost: 0.2, latency: serviceLatency(60)},
			{id: languageModelPool, kind: cicadapitch.Engine, count: 10, coldSlots: 2, warmSlots: 16, cost: 4, latency: languageModelLatency()},
			{id: bookingPool, count: 3, coldSlots: 2, warmSlots: 8, cost: 1, latency: serviceLatency(80)},
			{id: "billing", count: 5, coldSlots: 2, warmSlots: 8, cost: 0.5, latency: serviceLatency(50)},
			{id: "notification", count: 5, coldSlots: 2, warmSlots: 16, cost: 0.1, latency: serviceLatency(30)},
		},
		Pipelines: []fleetPipeline{
			{id: "draft", loadShare: 0.4, stages: []fleetStage{{pool: "archive"}, {pool: languageModelPool, tokens: 128}, {pool: "notification"}}},
			{id: "enquiry", loadShare: 0.4, stages: []fleetStage{{pool: "archive"}, {pool: languageModelPool, tokens: 48}}},
			{id: "slot", loadShare: 0.2, stages: []fleetStage{{pool: languageModelPool, tokens: 16}, {pool: bookingPool, neverRepeat: true}, {pool: "billing", neverRepeat: true}, {pool: "notification"}}},
		},
		Customers: []float64{0.4, 0.3, 0.1, 0.1, 0.1},
	}
}

// Cwrt returns the fleet of Cwrt Cymunedol.
func Cwrt() Fleet {
	f := Verbund()
	f.Name = "Cwrt"
	f.Weight = 0.75
	f.Pools[0].id = "membership"
	f.Pools[1].count = 20
	f.Pools[3].id = "payments"
	f.Pools[4].id = "notices"
	f.Pipelines = []fleetPipeline{
		{id: "fixtures", loadShare: 0.3, stages: []fleetStage{{pool: "membership"}, {pool: languageModelPool, tokens: 128}, {pool: "notices"}}},
		{id: "question", loadShare: 0.4, stages: []fleetStage{{pool: "membership"}, {pool: languageModelPool, tokens: 48}}},
		{id: "court", loadShare: 0.3, stages: []fleetStage{{pool: languageModelPool, tokens: 16}, {pool: bookingPool, neverRepeat: true}, {pool: "payments", neverRepeat: true}, {pool: "notices"}}},
	}
	return f
}

// FullSize returns the fleet "Letter", which has the size that the system is
// designed for.
func FullSize() Fleet {
	f := Verbund()
	f.Name = "Letter"
	f.Hosts = 340
	f.Zones = 10
	for i, n := range []int{300, 2000, 200, 200, 200} {
		f.Pools[i].count = n
	}
	f.Customers = make([]float64, 250)
	for i := range f.Customers {
		f.Customers[i] = 1 / float64(len(f.Customers))
	}
	return f
}

// configuration returns the configuration of the fleet.
func (f Fleet) configuration() *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{Revision: 1, Deployment: f.Name, Weight: f.Weight}
	for z := range f.Zones {
		cfg.Zones = append(cfg.Zones, cicadapitch.Zone{ID: zoneID(z), Region: "region"})
	}
	for _, p := range f.Pools {
		cfg.Pools = append(cfg.Pools, cicadapitch.Pool{
			ID: p.id, Kind: p.kind, ColdSlots: p.coldSlots, WarmSlots: p.warmSlots, CostPerSlotSecond: p.cost,
		})
		cfg.Endpoints = append(cfg.Endpoints, f.endpoints(p)...)
	}
	for _, p := range f.Pipelines {
		pl := cicadapitch.Pipeline{ID: p.id, Deadline: deadline, FirstToken: 1400, BetweenTokens: 47}
		for i, st := range p.stages {
			pl.Stages = append(pl.Stages, cicadapitch.Stage{
				ID: cicadapitch.StageID(fmt.Sprintf("%d-%s", i, st.pool)), Pool: st.pool,
				Idempotent: !st.neverRepeat, MaxTokens: st.tokens, Streams: st.tokens > 0,
				ExpectedMillis: f.pool(st.pool).fullLoadServiceTime(st.tokens),
			})
		}
		cfg.Pipelines = append(cfg.Pipelines, pl)
	}
	for i := range f.Customers {
		cfg.Customers = append(cfg.Customers, cicadapitch.Customer{ID: customerID(i), Share: 1})
	}
	return cfg
}

// endpoints returns the endpoints of a pool, distributed over the zones in
// turn.
func (f Fleet) endpoints(p fleetPool) []cicadapitch.Endpoint {
	list := make([]cicadapitch.Endpoint, 0, p.count)
	for i := range p.count {
		z := i % f.Zones
		list = append(list, cicadapitch.Endpoint{
			ID:    cicadapitch.EndpointID(fmt.Sprintf("%s-%d", p.id, i)),
			Pool:  p.id,
			Zone:  zoneID(z),
			Shard: cicadapitch.ShardID(fmt.Sprintf("%s-%d-%d", p.id, z, i/f.Zones/f.ShardSize)),
		})
	}
	return list
}

// pool returns the pool with the given id, or a zero pool.
func (f Fleet) pool(id cicadapitch.PoolID) fleetPool {
	for _, p := range f.Pools {
		if p.id == id {
			return p
		}
	}
	return fleetPool{}
}

func zoneID(z int) cicadapitch.ZoneID { return cicadapitch.ZoneID(fmt.Sprintf("zone-%d", z)) }

func customerID(i int) cicadapitch.CustomerID {
	return cicadapitch.CustomerID(fmt.Sprintf("customer-%d", i))
}

// fullLoadServiceTime returns the service time, at a full warm endpoint, of a
// call that generates the given number of tokens.
func (p fleetPool) fullLoadServiceTime(tokens cicadapitch.Tokens) cicadapitch.Millis {
	m := p.latency
	return cicadapitch.Millis((m.First + m.PerToken*float64(tokens)) * (1 + m.BatchSlowdown))
}

// slotTimePerRequest returns the mean slot time of a request in each pool, in
// milliseconds, with all endpoints full and warm.
func (f Fleet) slotTimePerRequest() map[cicadapitch.PoolID]float64 {
	w := make(map[cicadapitch.PoolID]float64)
	for _, p := range f.Pipelines {
		for _, st := range p.stages {
			tokens := cicadapitch.Tokens(float64(st.tokens) * meanOutputRatio)
			w[st.pool] += p.loadShare * float64(f.pool(st.pool).fullLoadServiceTime(tokens))
		}
	}
	return w
}

// capacity returns the requests per second that the given slots of the pools
// can serve; the scarcest pool limits it.
func (f Fleet) capacity(slots map[cicadapitch.PoolID]float64) float64 {
	least := -1.0
	for id, w := range f.slotTimePerRequest() {
		if c := slots[id] * 1000 / w; least < 0 || c < least {
			least = c
		}
	}
	return least
}

// warmCapacity returns the capacity in requests per second with all endpoints
// warm.
func (f Fleet) warmCapacity() float64 {
	slots := make(map[cicadapitch.PoolID]float64)
	for _, p := range f.Pools {
		slots[p.id] = float64(p.count) * float64(p.warmSlots)
	}
	return f.capacity(slots)
}
