package endpoint

import (
	"cicadapitch.example/cicadapitch"
)

// Configure takes over the pool and the endpoints of the shard. New and
// returning endpoints start cold.
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
		b := take(old, e.ID)
		if b == nil {
			b = newBackend(now, e, s.policy, s.pool)
		}
		s.setting(now, b, e, e.Out || zone.Out)
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

func (s *State) setting(now cicadapitch.Instant, b *backend, e cicadapitch.Endpoint, out bool) {
	returned := (b.out && !out) || b.removed
	b.Endpoint = e
	b.out = out
	b.removed = false
	b.bears = min(b.bears, s.pool.WarmSlots)
	if returned {
		s.fall(now, b)
	}
	if out {
		s.requeue(b)
	}
	s.endpoints = append(s.endpoints, b)
}

// take removes the endpoint from the list and returns it, or nil.
func take(list []*backend, id cicadapitch.EndpointID) *backend {
	for i, b := range list {
		if b != nil && b.ID == id {
			list[i] = nil
			return b
		}
	}
	return nil
}

// nominalLatencyModel starts from the first stage that uses the pool.
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

// defaultServiceMillis is the service time assumed where the configuration
// names none.
const defaultServiceMillis cicadapitch.Millis = 100
