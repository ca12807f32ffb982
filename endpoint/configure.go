package endpoint

import (
	"cicadapitch.example/cicadapitch"
)

// Configure applies the pool, the weight and the endpoints of the shard from a
// configuration. Endpoints that are new or back in service start cold. A
// removed endpoint stays in the state until its running calls have ended and a
// later configuration is applied.
func (s *State) Configure(now cicadapitch.Instant, cfg *cicadapitch.Configuration, shard cicadapitch.Shard) []Command {
	s.commands = s.commands[:0]
	pool, ok := cfg.Pool(shard.Pool)
	if ok && pool.ID != s.pool.ID {
		s.model = nominalLatencyModel(cfg, pool.ID)
	}
	if ok {
		s.pool = pool
	}
	s.weight = cfg.Weight
	zone, _ := cfg.Zone(shard.Zone)
	old := s.endpoints
	s.endpoints = make([]*backend, 0, len(shard.Endpoints))
	for _, e := range shard.Endpoints {
		b := takeBackend(old, e.ID)
		if b == nil {
			b = newBackend(now, e, s.policy, s.pool)
		}
		s.configureEndpoint(now, b, e, e.Out || zone.Out)
	}
	for _, b := range old {
		if b != nil && len(b.running) > 0 {
			b.removed = true
			s.requeue(b)
			s.endpoints = append(s.endpoints, b)
		} else if b != nil {
			s.requeue(b)
		}
	}
	return s.dispatch(now)
}

// configureEndpoint applies the configuration of one endpoint and adds it to
// the endpoints of the shard.
func (s *State) configureEndpoint(now cicadapitch.Instant, b *backend, e cicadapitch.Endpoint, out bool) {
	returned := (b.out && !out) || b.removed
	b.Endpoint = e
	b.out = out
	b.removed = false
	b.slowStartSlots = min(b.slowStartSlots, s.pool.WarmSlots)
	if returned {
		s.markCold(now, b)
	}
	if out {
		s.requeue(b)
	}
	s.endpoints = append(s.endpoints, b)
}

// takeBackend returns the backend with the id and sets its place in the list to
// nil, or returns nil if the list lacks the id.
func takeBackend(list []*backend, id cicadapitch.EndpointID) *backend {
	for i, b := range list {
		if b != nil && b.ID == id {
			list[i] = nil
			return b
		}
	}
	return nil
}

// nominalLatencyModel returns a model with the nominal service time of the first
// stage that uses the pool.
func nominalLatencyModel(cfg *cicadapitch.Configuration, pool cicadapitch.PoolID) latencyModel {
	for _, p := range cfg.Pipelines {
		for _, st := range p.Stages {
			if st.Pool == pool && st.ExpectedMillis > 0 {
				return newLatencyModel(st.ExpectedMillis, st.MaxTokens)
			}
		}
	}
	return newLatencyModel(defaultServiceMillis, 0)
}

// defaultServiceMillis is the nominal service time of a pool whose stages have
// no ExpectedMillis.
const defaultServiceMillis cicadapitch.Millis = 100
