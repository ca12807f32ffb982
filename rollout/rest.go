package rollout

import "cicadapitch.example/cicadapitch"

// Pauser keeps new work from an engine while it is ordered to load, so that no
// request begins on it and then waits for the load.
type Pauser interface {
	// Pause keeps new work from an endpoint and tells whether nothing runs
	// there any more.
	Pause(shard cicadapitch.ShardID, e cicadapitch.EndpointID) (idle bool)
	// Resume lets the endpoint take work again.
	Resume(shard cicadapitch.ShardID, e cicadapitch.EndpointID)
}

// NopPauser lets engines take work while they are ordered.
type NopPauser struct{}

// Pause implements Rest.
func (NopPauser) Pause(cicadapitch.ShardID, cicadapitch.EndpointID) bool { return true }

// Resume implements Rest.
func (NopPauser) Resume(cicadapitch.ShardID, cicadapitch.EndpointID) {}

// rested tells whether the engine may be ordered now. It stays paused until it
// has been ordered, over more than one step where its work takes longer.
func (r *Rollout) rested(id cicadapitch.ShardID, s *shard, e cicadapitch.EndpointID) bool {
	if s.paused != "" && s.paused != e {
		r.resume(id, s)
	}
	s.paused = e
	return r.rest.Pause(id, e)
}

func (r *Rollout) resume(id cicadapitch.ShardID, s *shard) {
	if s.paused != "" {
		r.rest.Resume(id, s.paused)
		s.paused = ""
	}
}
