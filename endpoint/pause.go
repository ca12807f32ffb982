package endpoint

import "cicadapitch.example/cicadapitch"

// Pause keeps new work from an endpoint until Resume, and tells whether nothing
// runs there. Running work goes on to its end. An unknown endpoint is idle.
func (s *State) Pause(id cicadapitch.EndpointID) (idle bool) {
	b := s.backend(id)
	if b == nil {
		return true
	}
	b.paused = true
	s.requeue(b)
	return b.busy() == 0
}

// Resume lets a paused endpoint take work again, from a cold start.
func (s *State) Resume(now cicadapitch.Instant, id cicadapitch.EndpointID) []Command {
	s.commands = s.commands[:0]
	b := s.backend(id)
	if b == nil || !b.paused {
		return nil
	}
	b.paused = false
	s.fall(now, b)
	return s.dispatch(now)
}

// Pause keeps new work from an endpoint of an owned shard until Resume, and
// tells whether nothing runs there.
func (o *Owner) Pause(id cicadapitch.ShardID, e cicadapitch.EndpointID) (idle bool) {
	s, ok := o.shard(id)
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Pause(e)
}

// Resume lets a paused endpoint take work again, from a cold start.
func (o *Owner) Resume(id cicadapitch.ShardID, e cicadapitch.EndpointID) {
	s, ok := o.shard(id)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(s.state.Resume(o.clock.Now(), e))
}
