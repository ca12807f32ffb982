package bench

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// Fleet is a deployment as the bench sees it.
type Fleet struct {
	Name  string
	Hosts int
	Zones int
	// ShardSize bounds the endpoints of one shard.
	ShardSize int
	Pools     []fleetPool
	Pipelines []fleetPipeline
	// Customers are the parts of the load that each customer sends.
	Customers []float64
	Weight    cicadapitch.Weight
}

type fleetPool struct {
	id    cicadapitch.PoolID
	kind  cicadapitch.PoolKind
	count int
	cold  cicadapitch.Slots
	warm  cicadapitch.Slots
	cost  cicadapitch.Cost
	curve curve
}

type fleetPipeline struct {
	id     cicadapitch.PipelineID
	part   float64
	stages []fleetStage
}

type fleetStage struct {
	pool   cicadapitch.PoolID
	tokens cicadapitch.Tokens
	once   bool
}

const (
	languageModel cicadapitch.PoolID = "lm"
	booking       cicadapitch.PoolID = "booking"

	// deadline is the deadline of all pipelines.
	deadline = 9 * cicadapitch.Second
	// prefixes is the number of prompt prefixes in use for each customer.
	prefixes = 30
	// minFill and meanFill are the least and the mean part of the tokens
	// asked for that is generated.
	minFill  = 0.6
	meanFill = 0.8
)

func lmCurve() curve {
	return curve{
		First: 400, FirstHit: 120, PerToken: 25, Batch: 0.8, Cold: 2.5,
		WarmUp: 4 * cicadapitch.Second, WarmUpCalls: 4, Prefixes: 24,
	}
}

func serviceCurve(ms float64) curve {
	return curve{First: ms, FirstHit: ms, Batch: 0.5, Cold: 2, WarmUp: 2 * cicadapitch.Second, WarmUpCalls: 4}
}

// Verbund is the fleet of the Windkanal-Verbund.
func Verbund() Fleet {
	return Fleet{
		Name: "Verbund", Hosts: 6, Zones: 3, ShardSize: 16, Weight: 0.25,
		Pools: []fleetPool{
			{id: "archive", count: 5, cold: 2, warm: 16, cost: 0.2, curve: serviceCurve(60)},
			{id: languageModel, kind: cicadapitch.Engine, count: 10, cold: 2, warm: 16, cost: 4, curve: lmCurve()},
			{id: booking, count: 3, cold: 2, warm: 8, cost: 1, curve: serviceCurve(80)},
			{id: "billing", count: 5, cold: 2, warm: 8, cost: 0.5, curve: serviceCurve(50)},
			{id: "notification", count: 5, cold: 2, warm: 16, cost: 0.1, curve: serviceCurve(30)},
		},
		Pipelines: []fleetPipeline{
			{id: "draft", part: 0.4, stages: []fleetStage{{pool: "archive"}, {pool: languageModel, tokens: 128}, {pool: "notification"}}},
			{id: "enquiry", part: 0.4, stages: []fleetStage{{pool: "archive"}, {pool: languageModel, tokens: 48}}},
			{id: "slot", part: 0.2, stages: []fleetStage{{pool: languageModel, tokens: 16}, {pool: booking, once: true}, {pool: "billing", once: true}, {pool: "notification"}}},
		},
		Customers: []float64{0.4, 0.3, 0.1, 0.1, 0.1},
	}
}

// Cwrt is the fleet of Cwrt Cymunedol.
func Cwrt() Fleet {
	f := Verbund()
	f.Name = "Cwrt"
	f.Weight = 0.75
	f.Pools[0].id = "membership"
	f.Pools[1].count = 20
	f.Pools[3].id = "payments"
	f.Pools[4].id = "notices"
	f.Pipelines = []fleetPipeline{
		{id: "fixtures", part: 0.3, stages: []fleetStage{{pool: "membership"}, {pool: languageModel, tokens: 128}, {pool: "notices"}}},
		{id: "question", part: 0.4, stages: []fleetStage{{pool: "membership"}, {pool: languageModel, tokens: 48}}},
		{id: "court", part: 0.3, stages: []fleetStage{{pool: languageModel, tokens: 16}, {pool: booking, once: true}, {pool: "payments", once: true}, {pool: "notices"}}},
	}
	return f
}

// Letter is a fleet of the size to design for.
func Letter() Fleet {
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

// configuration returns the fleet as a configuration.
func (f Fleet) configuration() *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{Revision: 1, Deployment: f.Name, Weight: f.Weight}
	for z := range f.Zones {
		cfg.Zones = append(cfg.Zones, cicadapitch.Zone{ID: zoneID(z), Region: "region"})
	}
	for _, p := range f.Pools {
		cfg.Pools = append(cfg.Pools, cicadapitch.Pool{
			ID: p.id, Kind: p.kind, ColdSlots: p.cold, WarmSlots: p.warm, CostPerSlotSecond: p.cost,
		})
		cfg.Endpoints = append(cfg.Endpoints, f.endpoints(p)...)
	}
	for _, p := range f.Pipelines {
		pl := cicadapitch.Pipeline{ID: p.id, Deadline: deadline, FirstToken: 1400, BetweenTokens: 47}
		for i, st := range p.stages {
			pl.Stages = append(pl.Stages, cicadapitch.Stage{
				ID: cicadapitch.StageID(fmt.Sprintf("%d-%s", i, st.pool)), Pool: st.pool,
				Idempotent: !st.once, MaxTokens: st.tokens, Streams: st.tokens > 0,
				ExpectedMillis: f.pool(st.pool).expected(st.tokens),
			})
		}
		cfg.Pipelines = append(cfg.Pipelines, pl)
	}
	for i := range f.Customers {
		cfg.Customers = append(cfg.Customers, cicadapitch.Customer{ID: customerID(i), Share: 1})
	}
	return cfg
}

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

// expected returns the service time of a call at a full endpoint.
func (p fleetPool) expected(tokens cicadapitch.Tokens) cicadapitch.Millis {
	c := p.curve
	return cicadapitch.Millis((c.First + c.PerToken*float64(tokens)) * (1 + c.Batch))
}

// work returns the slot time that a mean request takes of each pool at full
// batches.
func (f Fleet) work() map[cicadapitch.PoolID]float64 {
	w := make(map[cicadapitch.PoolID]float64)
	for _, p := range f.Pipelines {
		for _, st := range p.stages {
			tokens := cicadapitch.Tokens(float64(st.tokens) * meanFill)
			w[st.pool] += p.part * float64(f.pool(st.pool).expected(tokens))
		}
	}
	return w
}

// capacity returns the requests per second that slots of each pool carry.
func (f Fleet) capacity(slots map[cicadapitch.PoolID]float64) float64 {
	least := -1.0
	for id, w := range f.work() {
		if c := slots[id] * 1000 / w; least < 0 || c < least {
			least = c
		}
	}
	return least
}

// warmCapacity is the capacity of the fleet with every endpoint warm.
func (f Fleet) warmCapacity() float64 {
	slots := make(map[cicadapitch.PoolID]float64)
	for _, p := range f.Pools {
		slots[p.id] = float64(p.count) * float64(p.warm)
	}
	return f.capacity(slots)
}
