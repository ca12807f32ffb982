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
	// settling is the span in which the fleet warms up before a case begins.
	settling = 20 * cicadapitch.Second
	// settlingLoad is the part of the capacity that is offered meanwhile.
	settlingLoad = 0.3
	heartbeat    = cicadapitch.Second
)

// sim is one run.
type sim struct {
	loop
	rng     *rand.Rand
	fleet   Fleet
	c       Case
	policy  Policy
	cfg     *cicadapitch.Configuration
	groups  map[cicadapitch.PoolID]*pipeline.ShardGroup
	hosts   []*host
	owners  []*owner
	byShard map[cicadapitch.ShardID]*owner
	engines map[cicadapitch.EndpointID]*engine
	tally   *tally
	ids     int
	loads   int
}

// Run runs a case once.
func Run(c Case, v Variant, seed uint64) Result {
	s := newSim(c, v.Policy, seed)
	s.start()
	s.runUntil(s.tally.to.Add(deadline * (maxReturns + 1)))
	r := s.tally.result(s.fleet)
	r.ModelLoads = s.loads
	r.Case, r.Fleet, r.Variant, r.Seed = c.Name, s.fleet.Name, v.Name, seed
	for _, en := range s.engines {
		r.MaxOnCold = max(r.MaxOnCold, en.maxOnCold)
		r.OverCold += en.overCold
		r.OverFull += en.overFull
	}
	return r
}

func newSim(c Case, p Policy, seed uint64) *sim {
	begin := cicadapitch.Instant(0).Add(settling)
	s := &sim{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		fleet:   c.Fleet,
		c:       c,
		policy:  p,
		cfg:     c.Fleet.configuration(),
		byShard: make(map[cicadapitch.ShardID]*owner),
		engines: make(map[cicadapitch.EndpointID]*engine),
		tally:   newTally(begin, begin.Add(c.Duration)),
	}
	s.groups = pipeline.NewShardGroups(s.cfg)
	for i := range s.fleet.Hosts {
		s.hosts = append(s.hosts, newHost(s, zoneID(i%s.fleet.Zones)))
	}
	for _, e := range s.cfg.Endpoints {
		pool, _ := s.cfg.Pool(e.Pool)
		s.engines[e.ID] = &engine{id: e.ID, curve: s.fleet.pool(e.Pool).curve, pool: pool, slow: 1, cold: true}
		s.engines[e.ID].note(0)
	}
	for i, sh := range s.cfg.Shards() {
		o := &owner{s: s, shard: sh}
		s.owners = append(s.owners, o)
		s.byShard[sh.ID] = o
		o.gain(s.hosts[i%len(s.hosts)])
	}
	return s
}

func (s *sim) start() {
	s.every(s.policy.Endpoint.TickInterval, func() {
		for _, o := range s.owners {
			o.tick()
		}
	})
	s.every(heartbeat, func() {
		for _, h := range s.hosts {
			h.heartbeat()
		}
	})
	s.every(cicadapitch.Second, s.sampleCapacity)
	for i := range s.fleet.Customers {
		s.arrivals(i)
	}
	if s.c.Script != nil {
		s.after(settling, func() { s.c.Script(s) })
	}
}

// arrivals sends a customer's requests as a Poisson process.
func (s *sim) arrivals(customer int) {
	rate := s.rate(customer)
	gap := cicadapitch.Millis(math.Round(s.rng.ExpFloat64() * 1000 / rate))
	s.after(gap, func() {
		if s.now >= s.tally.to {
			return
		}
		r := &request{
			s: s, id: s.nextID(), customer: customer, pipeline: s.draw(), came: s.now,
			prefix: fmt.Sprintf("c%d-p%d", customer, s.rng.IntN(prefixes)),
		}
		s.tally.offer(r)
		r.submit()
		s.arrivals(customer)
	})
}

// rate returns the requests per second that a customer sends now.
func (s *sim) rate(customer int) float64 {
	total := s.fleet.warmCapacity() * s.fleet.Customers[customer]
	if s.now < s.tally.from {
		return total * settlingLoad
	}
	rate := total * s.c.Load
	if s.c.RateFactor != nil {
		rate *= s.c.RateFactor(customer, s.now.Sub(s.tally.from))
	}
	return max(rate, 0.001)
}

func (s *sim) draw() cicadapitch.Pipeline {
	x := s.rng.Float64()
	for i, p := range s.fleet.Pipelines {
		x -= p.part
		if x < 0 || i == len(s.fleet.Pipelines)-1 {
			return s.cfg.Pipelines[i]
		}
	}
	return s.cfg.Pipelines[0]
}

func (s *sim) liveHost() *host {
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
	return s.byShard[s.cfg.Endpoints[i].Shard]
}

func (s *sim) owner(id cicadapitch.ShardID) *owner { return s.byShard[id] }

// configure puts a changed configuration in force.
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

// crash kills an endpoint, which comes back cold after a while.
func (s *sim) crash(id cicadapitch.EndpointID, down cicadapitch.Millis) {
	en := s.engines[id]
	en.down = true
	for _, cl := range slices.Clone(en.running) {
		en.end(s.now, cl)
		cl.try.owner.finish(cl.try, endpoint.Broken, cl.try.delivered())
	}
	s.after(down, func() {
		en.down = false
		en.chill(s.now)
	})
}

// kill ends an entry host. Its shards have no owner until they are claimed.
func (s *sim) kill(h *host) {
	h.dead = true
	for _, o := range s.owners {
		if o.host == h {
			o.host = nil
		}
	}
}

// claim gives shards without an owner to the hosts that live.
func (s *sim) claim() {
	for _, o := range s.owners {
		if o.host == nil {
			o.gain(s.liveHost())
		}
	}
}

func (s *sim) sampleCapacity() {
	n, ok := s.tally.second(s.now)
	if !ok {
		return
	}
	slots := make(map[cicadapitch.PoolID]float64)
	for _, e := range s.cfg.Endpoints {
		en := s.engines[e.ID]
		z, _ := s.cfg.Zone(e.Zone)
		switch {
		case en.down || z.Out || e.Out:
		case en.cold:
			slots[e.Pool] += float64(en.pool.ColdSlots) / en.curve.Cold
		default:
			slots[e.Pool] += float64(en.pool.WarmSlots) / en.slow
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
