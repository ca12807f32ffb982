package rollout_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/rollout"
)

// rest says what is paused and for how many more steps work runs there.
type rest struct {
	paused map[cicadapitch.EndpointID]bool
	busy   int
}

func (r *rest) Pause(_ cicadapitch.ShardID, e cicadapitch.EndpointID) bool {
	r.paused[e] = true
	r.busy--
	return r.busy < 0
}

func (r *rest) Resume(_ cicadapitch.ShardID, e cicadapitch.EndpointID) { delete(r.paused, e) }

// ownResting returns a host that owns the shard and pauses its engines.
func (f *fleet) ownResting(r *rest) *rollout.Rollout {
	o := &owner{claims: []cicadapitch.Claim{{Shard: "drafts-0", Fencing: 1}}}
	return rollout.New("host", o, rollout.Dependencies{
		Configurations: f, Driver: f, Pauser: r, Store: f.store, Clock: f.clock,
		Load: func(cicadapitch.ShardID) cicadapitch.ShardLoad { return f.load },
	}, rollout.WithInterval(interval))
}

// TestEngineIsOrderedOnceItsWorkHasEnded lets the work of an engine outlast the
// room that its shard had when it was paused.
func TestEngineIsOrderedOnceItsWorkHasEnded(t *testing.T) {
	f := newFleet(1, 2)
	r := &rest{paused: make(map[cicadapitch.EndpointID]bool), busy: 3}
	h := f.ownResting(r)
	f.run(cicadapitch.Second, h)
	require.Len(t, r.paused, 1)
	f.load = cicadapitch.ShardLoad{Free: 0, Total: 8}
	f.run(2*cicadapitch.Second, h)
	require.Empty(t, f.orders)
	f.run(cicadapitch.Second, h)
	require.Len(t, f.orders, 1)
	require.Empty(t, r.paused)
}

// TestPausedEngineThatNeedsNoOrderTakesWorkAgain withdraws the order.
func TestPausedEngineThatNeedsNoOrderTakesWorkAgain(t *testing.T) {
	f := newFleet(1, 2)
	r := &rest{paused: make(map[cicadapitch.EndpointID]bool), busy: 1000}
	h := f.ownResting(r)
	f.run(cicadapitch.Second, h)
	require.Len(t, r.paused, 1)
	f.cfg.Pools[0].Ordered = false
	f.run(cicadapitch.Second, h)
	require.Empty(t, r.paused)
}
