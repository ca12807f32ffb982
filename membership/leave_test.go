package membership_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// TestHostThatLeavesWhileItRegistersIsNotListed guards against an entry of a host that has left, which
// a registration wrote that was under way.
func TestHostThatLeavesWhileItRegistersIsNotListed(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return version(m) == 1 })
	s.SetDelay(300)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	before := s.Calls().Commit
	go m.KeepRegistered(ctx)
	// The entry is written one delay after the call began.
	eventually(t, 4000, func() bool { return s.Calls().Commit > before })
	m.Leave(ctx)
	time.Sleep(1500 * time.Millisecond)
	require.Empty(t, s.Keys("hosts/"))
}
