package rollout_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/rollout"
)

// fakePauser records the paused engines. Work runs on a paused engine for
// busySteps more calls of Pause.
type fakePauser struct {
	paused    map[cicadapitch.EndpointID]bool
	busySteps int
}

func (r *fakePauser) Pause(_ cicadapitch.ShardID, e cicadapitch.EndpointID) bool {
	r.paused[e] = true
	r.busySteps--
	return r.busySteps < 0
}

func (r *fakePauser) Resume(_ cicadapitch.ShardID, e cicadapitch.EndpointID) { delete(r.paused, e) }

// newPausingOwner returns the rollout of a host that owns the shard drafts-0 and
// pauses engines through r.
func (f *fleet) newPausingOwner(r *fakePauser) *rollout.Rollout {
	o := &owner{claims: []cicadapitch.Claim{{Shard: "drafts-0", Fencing: 1}}}
	return rollout.New("host", o, rollout.Dependencies{
		Configurations: f, Driver: f, Pauser: r, Store: f.store, Clock: f.clock,
		Load: func(cicadapitch.ShardID) cicadapitch.ShardLoad { return f.load },
	}, rollout.WithInterval(interval))
}

// TestEngineIsOrderedAfterItsWorkHasEnded uses up the spare capacity of the shard
// after an engine was paused. The engine must still be ordered once it is idle.
func TestEngineIsOrderedAfterItsWorkHasEnded(t *testing.T) {
	f := newFleet(1, 2)
	r := &fakePauser{paused: make(map[cicadapitch.EndpointID]bool), busySteps: 3}
	h := f.newPausingOwner(r)
	f.run(cicadapitch.Second, h)
	require.Len(t, r.paused, 1)
	f.load = cicadapitch.ShardLoad{Free: 0, Total: 8}
	f.run(2*cicadapitch.Second, h)
	require.Empty(t, f.orders)
	f.run(cicadapitch.Second, h)
	require.Len(t, f.orders, 1)
	require.Empty(t, r.paused)
}

// TestPausedEngineResumesWhenOrderIsWithdrawn guards against an engine that stays
// paused because its order is no longer needed.
func TestPausedEngineResumesWhenOrderIsWithdrawn(t *testing.T) {
	f := newFleet(1, 2)
	r := &fakePauser{paused: make(map[cicadapitch.EndpointID]bool), busySteps: 1000}
	h := f.newPausingOwner(r)
	f.run(cicadapitch.Second, h)
	require.Len(t, r.paused, 1)
	f.cfg.Pools[0].Ordered = false
	f.run(cicadapitch.Second, h)
	require.Empty(t, r.paused)
}
