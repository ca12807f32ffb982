package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// usesEndpoint reports whether a host sends requests to an endpoint.
func usesEndpoint(m *membership.Membership, id cicadapitch.EndpointID) bool {
	return m.View().Contains(id)
}

// always fails if f does not hold throughout a time.
func always(t *testing.T, during cicadapitch.Millis, f func() bool) {
	t.Helper()
	require.Never(t, func() bool { return !f() }, during.Duration(), 10*time.Millisecond)
}

// startDrill starts hosts at a store with two endpoints, a copy of the store and further changes after it.
func startDrill(t *testing.T, hosts int) (*platformtest.Store, []*peerHost) {
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	setEndpoint(s, "a", 1, "ready")
	setEndpoint(s, "b", 2, "ready")
	var out []*peerHost
	for range hosts {
		out = append(out, startPeerHost(t, s.Address()))
	}
	for _, h := range out {
		eventually(t, 4000, func() bool { return len(h.Hosts()) == hosts && endpointCount(h.Membership) == 2 })
	}
	return s, out
}

// writeChanges writes n changes of the configuration.
func writeChanges(s *platformtest.Store, from, n int) {
	for i := range n {
		s.Set(platformtest.ConfigKey, platformtest.Config(from+i, "", 14))
	}
}

// restore lets the store be away for a moment and come back from a copy.
func restore(s *platformtest.Store, copied func()) {
	s.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	copied()
	s.SetDown(false)
}

// TestEndpointThatLeavesAfterAnOlderCopyIsNoticed guards against changes that are dropped since the store
// gave them revisions that hosts know already.
func TestEndpointThatLeavesAfterAnOlderCopyIsNoticed(t *testing.T) {
	s, hosts := startDrill(t, 2)
	older := s.Copy()
	writeChanges(s, 2, 10)
	setEndpoint(s, "a", 1, "ready") // its revision is given out again to something else
	setEndpoint(s, "c", 3, "ready")
	for _, h := range hosts {
		eventually(t, 1000, func() bool { return version(h.Membership) == 11 && usesEndpoint(h.Membership, "c") })
	}
	restore(s, func() { s.Restore(older) })
	setEndpoint(s, "c", 3, "ready")
	writeChanges(s, 11, 1)
	for _, h := range hosts {
		always(t, 500, func() bool { return version(h.Membership) == 11 && usesEndpoint(h.Membership, "a") })
	}
	setEndpoint(s, "a", 1, "draining")
	s.Set(platformtest.EvacuationKey("z"), []byte("{}"))
	writeChanges(s, 12, 1)
	for _, h := range hosts {
		eventually(t, 1000, func() bool { return version(h.Membership) == 12 && endpointCount(h.Membership) == 0 })
	}
	s.Remove(platformtest.EvacuationKey("z"))
	for _, h := range hosts {
		eventually(t, 1000, func() bool { return endpointCount(h.Membership) == 2 && !usesEndpoint(h.Membership, "a") })
		age, ok := h.KnowledgeAge()
		require.True(t, ok)
		require.Less(t, age, cicadapitch.Second)
	}
}

// TestOlderCopyTakesNothingBack guards against knowledge that is replaced by the older copy's before its
// writers could write it again.
func TestOlderCopyTakesNothingBack(t *testing.T) {
	s, hosts := startDrill(t, 2)
	older := s.Copy()
	setEndpoint(s, "a", 1, "draining")
	s.Remove(platformtest.EndpointKey("b"))
	setEndpoint(s, "c", 3, "ready")
	setEndpoint(s, "d", 4, "ready")
	s.Set(platformtest.EvacuationKey("y"), []byte("{}"))
	for _, h := range hosts {
		eventually(t, 1000, func() bool {
			return endpointCount(h.Membership) == 2 && usesEndpoint(h.Membership, "d") && h.View().Evacuated["y"]
		})
	}
	restore(s, func() { s.Restore(older) })
	for _, h := range hosts {
		always(t, 1000, func() bool {
			return !usesEndpoint(h.Membership, "a") && !usesEndpoint(h.Membership, "b") && usesEndpoint(h.Membership, "c") &&
				usesEndpoint(h.Membership, "d") && h.View().Evacuated["y"]
		})
	}
	// The writers come back, but for the endpoint d and the evacuation.
	setEndpoint(s, "a", 1, "draining")
	setEndpoint(s, "b", 2, "ready")
	setEndpoint(s, "c", 3, "ready")
	for _, h := range hosts {
		eventually(t, 3000, func() bool {
			return usesEndpoint(h.Membership, "b") && usesEndpoint(h.Membership, "c") && !usesEndpoint(h.Membership, "a") &&
				!usesEndpoint(h.Membership, "d") && !h.View().Evacuated["y"]
		})
	}
}

// TestHostsKeepEachOtherAfterAnOlderCopy guards against hosts that take themselves for the only one, and against
// a lease whose id was given to another host.
func TestHostsKeepEachOtherAfterAnOlderCopy(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	older := s.Copy()
	hosts := []*peerHost{startPeerHost(t, s.Address()), startPeerHost(t, s.Address())}
	known := func(h *peerHost) bool { return len(h.Hosts()) == 2 && h.HostCount() == 2 }
	for _, h := range hosts {
		eventually(t, 4000, func() bool { return known(h) })
	}
	restore(s, func() { s.Restore(older) })
	registered := func() int {
		pairs, _, err := s.List(t.Context(), "hosts/")
		require.NoError(t, err)
		return len(pairs)
	}
	for _, h := range hosts {
		always(t, 1000, func() bool { return known(h) })
	}
	eventually(t, 3000, func() bool { return registered() == 2 })
	_, err := s.Get(t.Context(), "deployment/secret")
	require.NoError(t, err, "hosts that start need it")
	// Longer than a lease lasts.
	for _, h := range hosts {
		always(t, 2500, func() bool { return known(h) })
	}
	require.Equal(t, 2, registered())
}

// TestHostThatTheStoreRefusesLearnsOfAnOlderCopyFromOthers covers a host that hears of the new era only from
// another one.
func TestHostThatTheStoreRefusesLearnsOfAnOlderCopyFromOthers(t *testing.T) {
	s, hosts := startDrill(t, 1)
	gate := platformtest.NewGate(s.Address())
	refused := startPeerHost(t, gate.Address())
	all := []*peerHost{hosts[0], refused}
	for _, h := range all {
		eventually(t, 4000, func() bool { return len(h.Hosts()) == 2 && endpointCount(h.Membership) == 2 })
	}
	older := s.Copy()
	writeChanges(s, 2, 10)
	for _, h := range all {
		eventually(t, 1000, func() bool { return version(h.Membership) == 11 })
	}
	gate.Shut()
	restore(s, func() { s.Restore(older) })
	setEndpoint(s, "a", 1, "draining")
	writeChanges(s, 12, 1)
	eventually(t, 3000, func() bool { return version(refused.Membership) == 12 && !usesEndpoint(refused.Membership, "a") })
	require.True(t, usesEndpoint(refused.Membership, "b"))
}

// TestProcessOfAnOlderCopyDoesNotReplaceALaterOne covers an endpoint that started again under its id after the copy.
func TestProcessOfAnOlderCopyDoesNotReplaceALaterOne(t *testing.T) {
	s, hosts := startDrill(t, 1)
	entry := func(n int, born int64) []byte {
		return fmt.Appendf(nil, `{"service":"s","address":"10.1.0.%d:80","zone":"z","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`, n, born)
	}
	address := func(want string) func() bool {
		return func() bool {
			return slices.Contains(hosts[0].View().Addresses(), want)
		}
	}
	s.Set(platformtest.EndpointKey("e"), entry(5, 1000))
	eventually(t, 1000, address("10.1.0.5:80"))
	older := s.Copy()
	s.Set(platformtest.EndpointKey("e"), entry(6, 2000))
	eventually(t, 1000, address("10.1.0.6:80"))
	restore(s, func() { s.Restore(older) })
	always(t, 800, address("10.1.0.6:80"))
	s.Set(platformtest.EndpointKey("e"), entry(7, 3000))
	eventually(t, 1000, address("10.1.0.7:80"))
}
