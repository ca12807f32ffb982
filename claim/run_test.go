package claim_test

import (
	"context"
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/standin"
)

// TestMain sets a fixed seed for the generated cases, so that every run has the same
// result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// singleHost is the only member.
type singleHost struct{}

func (singleHost) Self() cicadapitch.Member {
	return cicadapitch.Member{Host: "host-0", State: cicadapitch.Ready, Incarnation: 1}
}

func (s singleHost) Members() []cicadapitch.Member { return []cicadapitch.Member{s.Self()} }

func TestRunClaimsAndReleasesInRealTime(t *testing.T) {
	clock := cicadapitch.NewSystemClock()
	store := standin.NewMemoryStore(clock)
	cfg := configuration.NewFollower(clock)
	cfg.InstallIfNewer(&cicadapitch.Configuration{Revision: 1, Endpoints: []cicadapitch.Endpoint{{Shard: "a"}, {Shard: "b"}}})
	c := claim.New(store, singleHost{}, cfg, clock)
	var gained, lost atomic.Int32
	c.OnGain(func(cicadapitch.Claim) { gained.Add(1) })
	c.OnLoss(func(cicadapitch.ShardID) { lost.Add(1) })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- c.Run(ctx) }()
	require.Eventually(t, func() bool {
		c.SetLoad("a", cicadapitch.ShardLoad{Free: 3})
		c.RecordLoad("b", cicadapitch.ShardLoad{Free: 2})
		return len(c.Owned()) == 2
	}, time.Minute, time.Millisecond)
	load, ok := c.Load("a")
	require.True(t, ok)
	require.Equal(t, cicadapitch.Slots(3), load.Free)
	require.NoError(t, c.ReleaseAll(ctx))
	require.Empty(t, c.Owned())
	require.EqualValues(t, 2, gained.Load())
	require.EqualValues(t, 2, lost.Load())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
