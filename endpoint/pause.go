package endpoint

import "cicadapitch.example/cicadapitch"

// Pause stops new calls to an endpoint until Resume and reports whether the
// endpoint is idle. Running calls continue. An unknown endpoint is idle.
func (s *State) Pause(id cicadapitch.EndpointID) (idle bool) {
	b := s.backend(id)
	if b == nil {
		return true
	}
	b.paused = true
	s.requeue(b)
	return b.busy() == 0
}

// Resume puts a paused endpoint back into service. The endpoint starts cold.
func (s *State) Resume(now cicadapitch.Instant, id cicadapitch.EndpointID) []Command {
	s.commands = s.commands[:0]
	b := s.backend(id)
	if b == nil || !b.paused {
		return nil
	}
	b.paused = false
	s.markCold(now, b)
	return s.dispatch(now)
}

// Pause stops new calls to an endpoint of an owned shard until Resume and
// reports whether the endpoint is idle. Running calls continue. An endpoint of a
// shard that this host does not own is idle.
func (o *Owner) Pause(id cicadapitch.ShardID, e cicadapitch.EndpointID) (idle bool) {
	s, ok := o.shard(id)
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Pause(e)
}

// Resume puts a paused endpoint of an owned shard back into service. The
// endpoint starts cold.
func (o *Owner) Resume(id cicadapitch.ShardID, e cicadapitch.EndpointID) {
	s, ok := o.shard(id)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.state.Resume(o.clock.Now(), e))
}
