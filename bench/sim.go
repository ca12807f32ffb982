package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/pipeline"
)

const (
	// warmUpDuration is the time in which the fleet warms up before a case
	// starts.
	warmUpDuration = 20 * cicadapitch.Second
	// warmUpLoad is the offered load during the warm-up, as a fraction of the
	// capacity.
	warmUpLoad = 0.3
	// heartbeatInterval is the interval at which entry hosts learn the loads of
	// all shards.
	heartbeatInterval = cicadapitch.Second
)

// sim is the simulation of one run.
type sim struct {
	loop
	rng           *rand.Rand
	fleet         Fleet
	benchCase     Case
	policy        Policy
	cfg           *cicadapitch.Configuration
	groups        map[cicadapitch.PoolID]*pipeline.ShardGroup
	hosts         []*host
	owners        []*owner
	ownerByShard  map[cicadapitch.ShardID]*owner
	fakeEndpoints map[cicadapitch.EndpointID]*fakeEndpoint
	tally         *tally
	lastID        int
	modelLoads    int
}

// Run runs a case once with the policy of a variant. Equal arguments give equal
// results.
func Run(c Case, v Variant, seed uint64) Result {
	s := newSim(c, v.Policy, seed)
	s.start()
	s.runUntil(s.tally.to.Add(deadline * (maxResubmissions + 1)))
	r := s.tally.result(s.fleet)
	r.ModelLoads = s.modelLoads
	r.Case, r.Fleet, r.Variant, r.Seed = c.Name, s.fleet.Name, v.Name, seed
	for _, en := range s.fakeEndpoints {
		r.MaxColdCalls = max(r.MaxColdCalls, en.maxColdCalls)
		r.ColdOverloads += en.coldOverloads
		r.LateColdOverloads += en.lateColdOverloads
	}
	return r
}

func newSim(c Case, p Policy, seed uint64) *sim {
	begin := cicadapitch.Instant(0).Add(warmUpDuration)
	s := &sim{
		rng:           rand.New(rand.NewPCG(seed, seed)),
		fleet:         c.Fleet,
		benchCase:     c,
		policy:        p,
		cfg:           c.Fleet.configuration(),
		ownerByShard:  make(map[cicadapitch.ShardID]*owner),
		fakeEndpoints: make(map[cicadapitch.EndpointID]*fakeEndpoint),
		tally:         newTally(begin, begin.Add(c.Duration)),
	}
	s.groups = pipeline.NewShardGroups(s.cfg)
	for i := range s.fleet.Hosts {
		s.hosts = append(s.hosts, newHost(s, zoneID(i%s.fleet.Zones)))
	}
	for _, e := range s.cfg.Endpoints {
		pool, _ := s.cfg.Pool(e.Pool)
		s.fakeEndpoints[e.ID] = &fakeEndpoint{id: e.ID, latency: s.fleet.pool(e.Pool).latency, pool: pool, slowdown: 1, cold: true}
		s.fakeEndpoints[e.ID].recordSample(0)
	}
	for i, sh := range s.cfg.Shards() {
		o := &owner{s: s, shard: sh}
		s.owners = append(s.owners, o)
		s.ownerByShard[sh.ID] = o
		o.takeOver(s.hosts[i%len(s.hosts)])
	}
	return s
}

// start schedules the periodic events, the arrivals and the script of the case.
func (s *sim) start() {
	s.every(s.policy.Endpoint.TickInterval, func() {
		for _, o := range s.owners {
			o.tick()
		}
	})
	s.every(heartbeatInterval, func() {
		for _, h := range s.hosts {
			h.receiveLoads()
		}
	})
	s.every(cicadapitch.Second, s.sampleCapacity)
	for i := range s.fleet.Customers {
		s.scheduleArrival(i)
	}
	if s.benchCase.scheduleEvents != nil {
		s.after(warmUpDuration, func() { s.benchCase.scheduleEvents(s) })
	}
}

// scheduleArrival schedules the next request of a customer, and after it the
// following ones, as a Poisson process.
func (s *sim) scheduleArrival(customer int) {
	rate := s.rate(customer)
	gap := cicadapitch.Millis(math.Round(s.rng.ExpFloat64() * 1000 / rate))
	s.after(gap, func() {
		if s.now >= s.tally.to {
			return
		}
		r := &request{
			s: s, id: s.nextID(), customer: customer, pipeline: s.randomPipeline(), firstSubmittedAt: s.now,
			prefix: fmt.Sprintf("c%d-p%d", customer, s.rng.IntN(prefixesPerCustomer)),
		}
		s.tally.recordOffered(r)
		r.submit()
		s.scheduleArrival(customer)
	})
}

// rate returns the requests per second that a customer sends at present.
func (s *sim) rate(customer int) float64 {
	total := s.fleet.warmCapacity() * s.fleet.Customers[customer]
	if s.now < s.tally.from {
		return total * warmUpLoad
	}
	rate := total * s.benchCase.Load
	if s.benchCase.RateFactor != nil {
		rate *= s.benchCase.RateFactor(customer, s.now.Sub(s.tally.from))
	}
	return max(rate, 0.001)
}

// randomPipeline returns a pipeline at random, weighted by the load shares.
func (s *sim) randomPipeline() cicadapitch.Pipeline {
	draw := s.rng.Float64()
	for i, p := range s.fleet.Pipelines {
		draw -= p.loadShare
		if draw < 0 || i == len(s.fleet.Pipelines)-1 {
			return s.cfg.Pipelines[i]
		}
	}
	return s.cfg.Pipelines[0]
}

// randomLiveHost returns a random entry host that is not dead.
func (s *sim) randomLiveHost() *host {
	for {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		if !h.dead {
			return h
		}
	}
}

// ownerOf returns the owner of an endpoint's shard.
func (s *sim) ownerOf(id cicadapitch.EndpointID) *owner {
	i := slices.IndexFunc(s.cfg.Endpoints, func(e cicadapitch.Endpoint) bool { return e.ID == id })
	return s.ownerByShard[s.cfg.Endpoints[i].Shard]
}

// owner returns the owner of a shard.
func (s *sim) owner(id cicadapitch.ShardID) *owner { return s.ownerByShard[id] }

// configure applies a changed configuration to the owners.
func (s *sim) configure(change func(*cicadapitch.Configuration)) {
	next := *s.cfg
	next.Revision++
	next.Zones = slices.Clone(s.cfg.Zones)
	next.Pools = slices.Clone(s.cfg.Pools)
	change(&next)
	s.cfg = &next
	s.groups = pipeline.NewShardGroups(s.cfg)
	for _, o := range s.owners {
		if o.host != nil {
			o.handle(o.state.Configure(s.now, s.cfg, o.shard))
		}
	}
}

// crashEndpoint breaks all calls of an endpoint and takes it down for the given
// time, after which it is cold.
func (s *sim) crashEndpoint(id cicadapitch.EndpointID, down cicadapitch.Millis) {
	en := s.fakeEndpoints[id]
	en.down = true
	for _, cl := range slices.Clone(en.running) {
		en.endCall(s.now, cl)
		cl.attempt.owner.finish(cl.attempt, endpoint.Broken, cl.attempt.deliveredTokens())
	}
	s.after(down, func() {
		en.down = false
		en.makeCold(s.now)
	})
}

// killHost takes the shards of an entry host away and sends it no new requests.
// The shards have no owner until claimShards. Requests that have entered at the
// host continue.
func (s *sim) killHost(h *host) {
	h.dead = true
	for _, o := range s.owners {
		if o.host == h {
			o.host = nil
		}
	}
}

// claimShards assigns each shard without an owner to a random live host.
func (s *sim) claimShards() {
	for _, o := range s.owners {
		if o.host == nil {
			o.takeOver(s.randomLiveHost())
		}
	}
}

// sampleCapacity records the current capacity of the fleet in the tally.
func (s *sim) sampleCapacity() {
	n, ok := s.tally.second(s.now)
	if !ok {
		return
	}
	slots := make(map[cicadapitch.PoolID]float64)
	for _, e := range s.cfg.Endpoints {
		en := s.fakeEndpoints[e.ID]
		z, _ := s.cfg.Zone(e.Zone)
		switch {
		case en.down || z.Out || e.Out:
		case en.cold:
			slots[e.Pool] += float64(en.pool.ColdSlots) / en.latency.ColdSlowdown
		default:
			slots[e.Pool] += float64(en.pool.WarmSlots) / en.slowdown
		}
	}
	s.tally.capacity[n] = s.fleet.capacity(slots)
}

// endpoints returns the ids of a pool's endpoints.
func (s *sim) endpoints(pool cicadapitch.PoolID) []cicadapitch.EndpointID {
	var ids []cicadapitch.EndpointID
	for _, e := range s.cfg.Endpoints {
		if e.Pool == pool {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
