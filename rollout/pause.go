package rollout

import "cicadapitch.example/cicadapitch"

// Pauser pauses the dispatch of work to an engine before an order is sent to it.
// Otherwise requests would start on the engine and wait until it has loaded the
// model.
type Pauser interface {
	// Pause stops the dispatch of new work to an endpoint. It returns true if no
	// work is running there.
	Pause(shard cicadapitch.ShardID, e cicadapitch.EndpointID) (idle bool)
	// Resume resumes the dispatch of work to an endpoint.
	Resume(shard cicadapitch.ShardID, e cicadapitch.EndpointID)
}

// NopPauser is a Pauser that does nothing, so engines get work at all times.
type NopPauser struct{}

// Pause implements Pauser.
func (NopPauser) Pause(cicadapitch.ShardID, cicadapitch.EndpointID) bool { return true }

// Resume implements Pauser.
func (NopPauser) Resume(cicadapitch.ShardID, cicadapitch.EndpointID) {}

// pause pauses an engine and reports whether it is idle, so that its order may be
// sent now. The engine stays paused until the order has been sent, which takes
// several steps if its running work takes longer. At most one engine of a shard is
// paused.
func (r *Rollout) pause(id cicadapitch.ShardID, s *shardState, e cicadapitch.EndpointID) bool {
	if s.paused != "" && s.paused != e {
		r.resume(id, s)
	}
	s.paused = e
	return r.pauser.Pause(id, e)
}

// resume resumes the paused engine of a shard, if there is one.
func (r *Rollout) resume(id cicadapitch.ShardID, s *shardState) {
	if s.paused != "" {
		r.pauser.Resume(id, s.paused)
		s.paused = ""
	}
}
