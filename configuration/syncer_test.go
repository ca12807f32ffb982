package configuration_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/standin"
)

// singleHost is a host without peers.
type singleHost struct{}

func (singleHost) Self() cicadapitch.Member {
	return cicadapitch.Member{Host: "h0", State: cicadapitch.Ready}
}

func (l singleHost) Members() []cicadapitch.Member { return []cicadapitch.Member{l.Self()} }

func (singleHost) Fetch(context.Context, cicadapitch.Member, cicadapitch.Revision) (configuration.Update, error) {
	return configuration.Update{}, cicadapitch.NewError(cicadapitch.Unavailable, "no peer", "ask another")
}

func TestSyncerFollowsStoreAndRecoversFromOutage(t *testing.T) {
	store, a := newStore(t, example(3))
	f := configuration.NewFollower(clock)
	s := configuration.NewSyncer(f, store, singleHost{}, singleHost{}, clock)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	waitForRevision := func(r cicadapitch.Revision) {
		require.Eventually(t, func() bool { return f.Revision() == r }, time.Minute, 5*time.Millisecond)
	}
	waitForRevision(1)
	apply(t, a, "zone-0")
	waitForRevision(2)
	store.SetDown(true)
	require.Eventually(t, func() bool { return store.Calls().OpenWatches == 0 }, time.Minute, 5*time.Millisecond)
	store.SetDown(false)
	apply(t, a, "zone-1")
	waitForRevision(3)
	require.True(t, f.Confirmed())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Eventually(t, func() bool { return store.Calls().OpenWatches == 0 }, time.Minute, 5*time.Millisecond)
}

func apply(t *testing.T, a *configuration.Applier, zone cicadapitch.ZoneID) {
	_, err := a.Apply(ctx, takeZoneOut(cicadapitch.ChangeID("out-"+zone), zone))
	require.NoError(t, err)
}

// TestWatchDeliversChangeWithoutPoll does not advance the syncer's clock, so that
// only the watch can deliver the change.
func TestWatchDeliversChangeWithoutPoll(t *testing.T) {
	manual := cicadapitch.NewManualClock(1_000_000)
	store := standin.NewMemoryStore(clock)
	a := configuration.NewApplier(store, clock)
	f := configuration.NewFollower(manual)
	s := configuration.NewSyncer(f, store, singleHost{}, singleHost{}, manual)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, c := range s.Step() {
		if _, ok := c.(configuration.StartWatch); ok {
			go s.Execute(ctx, c)
			continue
		}
		s.Execute(ctx, c)
	}
	require.Eventually(t, func() bool { return store.Calls().OpenWatches == 1 }, time.Minute, time.Millisecond)
	_, err := a.Apply(ctx, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.Revision() == 1 }, time.Minute, time.Millisecond)
}
