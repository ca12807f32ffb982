package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// TestHostRegistersAsSoonAsItCanServe guards against a host that is ready and that no other host
// knows for a second.
func TestHostRegistersAsSoonAsItCanServe(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	first := startPeerHost(t, s.Address())
	second := startPeerHost(t, s.Address())
	time.Sleep(200 * time.Millisecond)
	require.False(t, second.Ready())
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	eventually(t, 1000, second.Ready)
	eventually(t, 500, func() bool { return len(first.Hosts()) == 2 })
}
