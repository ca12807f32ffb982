package rollout_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/rollout"
	"cicadapitch.example/cicadapitch/standin"
)

const interval = 10 * cicadapitch.Second

// fleet holds the engines of one pool, which has a shard in each zone. It is also
// the driver and the configuration source of the owners under test.
type fleet struct {
	cfg   *cicadapitch.Configuration
	clock *cicadapitch.ManualClock
	store *standin.MemoryStore
	load  cicadapitch.ShardLoad
	// served is the version that each engine serves, fencing the number of the
	// last order that it accepted.
	served   map[cicadapitch.EndpointID]cicadapitch.ModelVersion
	fencing  map[cicadapitch.EndpointID]cicadapitch.FencingNumber
	orders   []cicadapitch.Instant
	orderErr error
}

func newFleet(zones, engines int) *fleet {
	pool := cicadapitch.Pool{
		ID: "drafts", Kind: cicadapitch.Engine, Model: "m", Version: "2", Ordered: true,
		ColdSlots: 1, WarmSlots: 8, ChecksFencing: true,
	}
	cfg := &cicadapitch.Configuration{Revision: 1, Pools: []cicadapitch.Pool{pool}}
	for z := range zones {
		zone := cicadapitch.ZoneID(fmt.Sprint(z))
		cfg.Zones = append(cfg.Zones, cicadapitch.Zone{ID: zone})
		for e := range engines {
			cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{
				ID: cicadapitch.EndpointID(fmt.Sprintf("%d-%d", z, e)), Pool: "drafts", Zone: zone,
				Shard: cicadapitch.ShardID("drafts-" + zone),
			})
		}
	}
	clock := cicadapitch.NewManualClock(0)
	return &fleet{
		cfg: cfg, clock: clock, store: standin.NewMemoryStore(clock),
		load:    cicadapitch.ShardLoad{Free: 16, Total: 16},
		served:  make(map[cicadapitch.EndpointID]cicadapitch.ModelVersion),
		fencing: make(map[cicadapitch.EndpointID]cicadapitch.FencingNumber),
	}
}

func (f *fleet) Current() *cicadapitch.Configuration { return f.cfg }

func (f *fleet) Call(context.Context, cicadapitch.Call, func(string)) (cicadapitch.CallResult, error) {
	panic("no calls in a rollout")
}

func (f *fleet) Load(context.Context, cicadapitch.Endpoint) (cicadapitch.LoadReport, error) {
	panic("no load reports in a rollout")
}

func (f *fleet) Order(_ context.Context, e cicadapitch.Endpoint, o cicadapitch.EndpointOrder) error {
	f.orders = append(f.orders, f.clock.Now())
	if f.orderErr != nil {
		return f.orderErr
	}
	if f.cfg.Pools[0].ChecksFencing && o.Fencing < f.fencing[e.ID] {
		return cicadapitch.NewError(cicadapitch.Conflict, "old fencing number", "")
	}
	f.served[e.ID] = o.Version
	f.fencing[e.ID] = o.Fencing
	return nil
}

// owner is the Ownership of a host. If lost is true, Holds returns false for the
// shards of Owned, as when a claim expires between the two calls.
type owner struct {
	claims []cicadapitch.Claim
	lost   bool
}

func (o *owner) Owned() []cicadapitch.Claim { return o.claims }

func (o *owner) Holds(id cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) {
	for _, c := range o.claims {
		if c.Shard == id {
			return c.Fencing, !o.lost
		}
	}
	return 0, false
}

// newOwner returns the ownership and the rollout of a host that owns one shard.
func (f *fleet) newOwner(shard cicadapitch.ShardID, n cicadapitch.FencingNumber) (*owner, *rollout.Rollout) {
	o := &owner{claims: []cicadapitch.Claim{{Shard: shard, Fencing: n}}}
	p := rollout.Dependencies{
		Configurations: f, Driver: f, Store: f.store, Clock: f.clock,
		Load: func(cicadapitch.ShardID) cicadapitch.ShardLoad { return f.load },
	}
	return o, rollout.New(cicadapitch.HostID(shard), o, p, rollout.WithInterval(interval))
}

// run calls Step of all hosts once per second of the simulated time span.
func (f *fleet) run(span cicadapitch.Millis, hosts ...*rollout.Rollout) {
	for range span / cicadapitch.Second {
		for _, h := range hosts {
			h.Step(context.Background())
		}
		f.clock.Advance(cicadapitch.Second)
	}
}

// TestOwnersShareTheOrderInterval runs three owners that exchange no messages.
// Together they must order at most one engine of the pool in each interval.
func TestOwnersShareTheOrderInterval(t *testing.T) {
	f := newFleet(3, 4)
	var hosts []*rollout.Rollout
	for z := range 3 {
		_, h := f.newOwner(cicadapitch.ShardID(fmt.Sprintf("drafts-%d", z)), 1)
		hosts = append(hosts, h)
	}
	f.run(12*interval, hosts...)
	require.Len(t, f.served, 12)
	require.Len(t, f.orders, 12)
	for i := 1; i < len(f.orders); i++ {
		require.GreaterOrEqual(t, f.orders[i].Sub(f.orders[i-1]), interval)
	}
	calls := f.store.Calls()
	f.run(100*interval, hosts...)
	require.Len(t, f.orders, 12)
	require.Equal(t, calls, f.store.Calls())
}

func TestPoolsNeverOrderedGetNoOrders(t *testing.T) {
	f := newFleet(1, 2)
	f.cfg.Pools[0].Ordered = false
	_, h := f.newOwner("drafts-0", 1)
	f.run(5*interval, h)
	require.Empty(t, f.orders)
}

func TestOrderWaitsForSpareCapacity(t *testing.T) {
	f := newFleet(1, 2)
	_, h := f.newOwner("drafts-0", 1)
	for _, busy := range []cicadapitch.ShardLoad{{Free: 7, Total: 16}, {Free: 16, Total: 16, Queued: 1}, {Free: 0, Total: 1}} {
		f.load = busy
		f.run(3*interval, h)
		require.Empty(t, f.orders)
	}
	f.cfg.Endpoints[1].Out = true
	f.load = cicadapitch.ShardLoad{Free: 7, Total: 8}
	f.run(3*interval, h)
	require.Equal(t, map[cicadapitch.EndpointID]cicadapitch.ModelVersion{"0-1": "2"}, f.served)
	f.load = cicadapitch.ShardLoad{Free: 1, Total: 1}
	f.run(3*interval, h)
	require.Len(t, f.served, 2)
}

func TestNextOwnerResumesProgress(t *testing.T) {
	f := newFleet(1, 4)
	_, first := f.newOwner("drafts-0", 1)
	f.run(2*interval, first)
	require.Len(t, f.orders, 2)
	_, second := f.newOwner("drafts-0", 2)
	f.run(6*interval, second)
	require.Len(t, f.orders, 4)
	require.Len(t, f.served, 4)
}

func TestFormerOwnerStopsAfterConflict(t *testing.T) {
	f := newFleet(1, 2)
	_, paused := f.newOwner("drafts-0", 1)
	f.run(interval, paused)
	_, next := f.newOwner("drafts-0", 2)
	f.cfg.Pools[0].Version = "3"
	f.run(4*interval, next)
	f.cfg.Pools[0].Version = "2"
	before := len(f.orders)
	f.run(20*interval, paused)
	require.Len(t, f.orders, before+1)
	require.Equal(t, map[cicadapitch.EndpointID]cicadapitch.ModelVersion{"0-0": "3", "0-1": "3"}, f.served)
}

func TestNoOrderAfterClaimIsLost(t *testing.T) {
	f := newFleet(1, 1)
	o, h := f.newOwner("drafts-0", 1)
	o.lost = true
	f.run(3*interval, h)
	require.Empty(t, f.orders)
}

// TestOrderIsRepeatedToOverriddenEngine simulates a former owner that overrides
// an order, which engines that don't check fencing numbers allow.
func TestOrderIsRepeatedToOverriddenEngine(t *testing.T) {
	f := newFleet(1, 2)
	f.cfg.Pools[0].ChecksFencing = false
	_, h := f.newOwner("drafts-0", 2)
	f.run(3*interval, h)
	f.served["0-0"] = "1"
	f.run(2*cicadapitch.Minute, h)
	require.Equal(t, cicadapitch.ModelVersion("2"), f.served["0-0"])
}

func TestFailedOrdersBackOff(t *testing.T) {
	f := newFleet(1, 1)
	_, h := f.newOwner("drafts-0", 1)
	f.orderErr = cicadapitch.NewOutcomeUnknown("no answer")
	f.run(30*cicadapitch.Minute, h)
	require.Less(t, len(f.orders), 40)
	f.orderErr = nil
	f.run(2*cicadapitch.Minute, h)
	require.Equal(t, cicadapitch.ModelVersion("2"), f.served["0-0"])
}

// TestStoreOutageRepeatsAtMostOneOrder makes the store unavailable and loses the
// answer of a write. At most one order may be repeated, and no engine may be left
// out.
func TestStoreOutageRepeatsAtMostOneOrder(t *testing.T) {
	f := newFleet(1, 3)
	_, h := f.newOwner("drafts-0", 1)
	f.store.SetDown(true)
	f.run(3*interval, h)
	require.Empty(t, f.orders)
	f.store.SetDown(false)
	f.store.LoseAnswers(1)
	f.run(interval, h)
	f.store.SetDown(true)
	f.run(interval, h)
	f.store.SetDown(false)
	f.run(10*interval, h)
	require.Len(t, f.served, 3)
	require.LessOrEqual(t, len(f.orders), 4)
	before := len(f.orders)
	_, next := f.newOwner("drafts-0", 2)
	f.run(10*interval, next)
	require.Len(t, f.orders, before)
}
