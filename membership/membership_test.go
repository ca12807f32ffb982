package membership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// endpointEntry is the format of an endpoint's entry: the last number of the address,
// the state and the sequence number.
const endpointEntry = `{"service":"s","address":"10.1.0.%d:80","zone":"z","slots":4,"state":"%s","cold_remaining_ms":0,"sequence":%d}`

func startMembership(t *testing.T, s *platformtest.Store) *membership.Membership {
	m := membership.New(&platform.Settings{
		Host: "h", IP: "127.0.0.1", Zone: "z", PeerPort: 7740, CallerListen: "127.0.0.1:1",
		Store: platform.StoreSettings{Address: s.Address(), MinLease: 1000},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.FollowStore(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func endpointCount(m *membership.Membership) int { return len(m.View().Endpoints("s")) }

func eventually(t *testing.T, within cicadapitch.Millis, f func() bool) {
	t.Helper()
	require.Eventually(t, f, within.Duration(), 10*time.Millisecond)
}

// TestViewFollowsStoreChanges lists ten endpoints and then drains one, invalidates the
// entry of another, evacuates the zone and takes it back, and removes an endpoint.
func TestViewFollowsStoreChanges(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	for i := range 10 {
		s.Set(platformtest.EndpointKey(fmt.Sprintf("i%d", i)), []byte(fmt.Sprintf(endpointEntry, i, "ready", 1)))
	}
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return endpointCount(m) == 10 })
	s.Set(platformtest.EndpointKey("i3"), []byte(fmt.Sprintf(endpointEntry, 3, "draining", 2)))
	eventually(t, 1000, func() bool { return endpointCount(m) == 9 })
	s.Set(platformtest.EndpointKey("i4"), []byte("invalid {"))
	eventually(t, 1000, func() bool { return endpointCount(m) == 8 })
	s.Set(platformtest.EvacuationKey("z"), json.RawMessage("{}"))
	eventually(t, 1000, func() bool { return endpointCount(m) == 0 })
	s.Remove(platformtest.EvacuationKey("z"))
	eventually(t, 1000, func() bool { return endpointCount(m) == 8 })
	s.Remove(platformtest.EndpointKey("i5"))
	eventually(t, 1000, func() bool { return endpointCount(m) == 7 })
}

func TestStoreIsListedAgainAfterCompaction(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 1)))
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return endpointCount(m) == 1 })
	s.Set(platformtest.EndpointKey("b"), []byte(fmt.Sprintf(endpointEntry, 2, "ready", 1)))
	s.Remove(platformtest.EndpointKey("a"))
	s.Compact()
	eventually(t, 3000, func() bool { v := m.View().Endpoints("s"); return len(v) == 1 && v[0].ID == "b" })
}

// TestEndpointsMayReregisterAfterAStoreOutage removes two entries while the store
// is down, as if their leases had expired. Both endpoints stay in the view for a while
// after the outage. The one that registers again within reregisterGrace stays, the
// other one is removed.
func TestEndpointsMayReregisterAfterAStoreOutage(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 1)))
	s.Set(platformtest.EndpointKey("b"), []byte(fmt.Sprintf(endpointEntry, 2, "ready", 1)))
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return endpointCount(m) == 2 })
	s.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	s.Remove(platformtest.EndpointKey("a"))
	s.Remove(platformtest.EndpointKey("b"))
	s.SetDown(false)
	for range 10 {
		require.Equal(t, 2, endpointCount(m))
		time.Sleep(100 * time.Millisecond)
	}
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 2)))
	eventually(t, 4000, func() bool { v := m.View().Endpoints("s"); return len(v) == 1 && v[0].ID == "a" })
}

func TestRemovalWithoutAnOutageTakesEffectAtOnce(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 1)))
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return endpointCount(m) == 1 })
	s.Remove(platformtest.EndpointKey("a"))
	eventually(t, 500, func() bool { return endpointCount(m) == 0 })
}

func TestHostWithoutConfigurationIsNotReady(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	m := startMembership(t, s)
	time.Sleep(200 * time.Millisecond)
	require.False(t, m.Ready())
	addresses, _ := m.Addresses("z")
	require.Empty(t, addresses)
	s.Set(platformtest.ConfigKey, []byte(`{"version":1,"routes":[],"services":[]}`))
	eventually(t, 1000, m.Ready)
	addresses, ttl := m.Addresses("z")
	require.Equal(t, []string{"127.0.0.1:1"}, addresses)
	require.LessOrEqual(t, ttl, cicadapitch.Millis(5000))
}

func TestSecretIsCreatedOnce(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	first, err := startMembership(t, s).Secret(context.Background())
	require.NoError(t, err)
	second, err := startMembership(t, s).Secret(context.Background())
	require.NoError(t, err)
	require.Equal(t, first, second)
}

// TestStoreIsListedAgainAfterMissedEvents guards against a watch response of the store
// that has a later revision but lacks the event of the change.
func TestStoreIsListedAgainAfterMissedEvents(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 1)))
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return endpointCount(m) == 1 })
	s.SuppressWatchEvents(true)
	s.Set(platformtest.EndpointKey("b"), []byte(fmt.Sprintf(endpointEntry, 2, "ready", 1)))
	eventually(t, 4000, func() bool { return endpointCount(m) == 2 })
}

// largeConfig is a configuration of nearly half a megabyte. Ten of them are more than one answer of the store may hold.
func largeConfig(version int) []byte {
	var routes strings.Builder
	for i := range 2500 {
		routes.WriteString(platformtest.Route(fmt.Sprintf("/large/%d/", i)))
	}
	return platformtest.Config(version, routes.String(), 14)
}

// TestManyLargeChangesAreInForceInTime guards against hosts that read the same changes again and again, since they
// are more than one answer of the store may hold.
func TestManyLargeChangesAreInForceInTime(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, largeConfig(1))
	gate := platformtest.NewGate(s.Address())
	h := startPeerHost(t, gate.Address())
	eventually(t, 4000, func() bool { return version(h.Membership) == 1 })
	gate.Shut()
	for i := range 10 {
		s.Set(platformtest.ConfigKey, largeConfig(i+2))
	}
	time.Sleep(500 * time.Millisecond)
	gate.Open()
	eventually(t, configApply, func() bool { return version(h.Membership) == 11 })
	s.Set(platformtest.ConfigKey, largeConfig(12))
	eventually(t, configApply, func() bool { return version(h.Membership) == 12 })
}
