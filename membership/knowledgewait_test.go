package membership_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// TestRequestThatIsGivenUpWhileItWaitsForKnowledgeHasNotRun covers a host without knowledge: the
// error says that nothing was sent, also if the wait ends with the caller's time.
func TestRequestThatIsGivenUpWhileItWaitsForKnowledgeHasNotRun(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	m := membership.New(newPeerSettings(s.Address()))
	for _, timeout := range []time.Duration{0, time.Second} {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		err := m.AwaitKnowledge(ctx)
		cancel()
		require.ErrorIs(t, err, membership.ErrKnowledgeOld)
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	}
}

// TestHostsGoOnWhileTheStoreIsAway covers an outage of the store that all hosts see.
func TestHostsGoOnWhileTheStoreIsAway(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	one, other := startPeerHost(t, s.Address()), startPeerHost(t, s.Address())
	eventually(t, 5000, func() bool { return len(one.Hosts()) == 2 && len(other.Hosts()) == 2 })
	s.SetDown(true)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		start := time.Now()
		require.NoError(t, one.AwaitKnowledge(t.Context()))
		require.NoError(t, other.AwaitKnowledge(t.Context()))
		require.Less(t, time.Since(start), 500*time.Millisecond)
	}
	s.SetDown(false)
	eventually(t, 2000, func() bool { age, ok := one.KnowledgeAge(); return ok && age < 1000 })
}
