package membership_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// rolloutOf returns what a host knows of the rollout of service s.
func rolloutOf(h *peerHost) fleet.Rollout { return h.View().Rollouts["s"] }

// orderOf returns the version of the order that a host knows, or "".
func orderOf(h *peerHost) cicadapitch.SoftwareVersion { return rolloutOf(h).Order.To }

func setOrder(s *platformtest.Store, to string, seconds float64) {
	s.Set(platform.RolloutKey("s"), map[string]any{"service": "s", "to": to, "duration_s": seconds})
}

// TestRolloutOrdersReachTheView guards against an invalid order that takes effect or ends the one before.
func TestRolloutOrdersReachTheView(t *testing.T) {
	s, hosts := startDrill(t, 2)
	for _, h := range hosts {
		require.Nil(t, h.View().Rollouts)
	}
	setOrder(s, "v2", 20)
	for _, h := range hosts {
		eventually(t, 1000, func() bool { return orderOf(h) == "v2" })
		o := rolloutOf(h).Order
		require.Equal(t, 20*cicadapitch.Second, o.Duration)
		require.Positive(t, o.Revision)
		require.Positive(t, o.At)
	}
	for _, odd := range []string{"\xff{", `{"service":"s","to":"v3","duration_s":0}`, `{"service":"x","to":"v3","duration_s":9}`} {
		s.Set(platform.RolloutKey("s"), []byte(odd))
	}
	s.Set(platform.RolloutKey("other"), []byte("3"))
	for _, h := range hosts {
		always(t, 500, func() bool { return orderOf(h) == "v2" && h.View().Rollouts["other"].Order.Revision == 0 })
	}
	before := rolloutOf(hosts[0]).Order.Revision
	setOrder(s, "v2", 20)
	eventually(t, 1000, func() bool { return rolloutOf(hosts[0]).Order.Revision > before })
	s.Remove(platform.RolloutKey("s"))
	s.Remove(platform.RolloutKey("other"))
	for _, h := range hosts {
		eventually(t, 1000, func() bool { return h.View().Rollouts == nil })
	}
}

// TestProgressOfARolloutIsStoredOnTheOrderThatItIsOf guards against a status of an order that was
// replaced meanwhile, and against one that another host has written meanwhile.
func TestProgressOfARolloutIsStoredOnTheOrderThatItIsOf(t *testing.T) {
	s, hosts := startDrill(t, 2)
	setOrder(s, "v2", 20)
	for _, h := range hosts {
		eventually(t, 1000, func() bool { return orderOf(h) == "v2" })
	}
	known := rolloutOf(hosts[0])
	progress := fleet.RolloutProgress{Order: known.Order.Revision.Number(), To: "v2", At: 5, Since: 5}
	require.NoError(t, hosts[0].StoreRollout(t.Context(), known, progress))
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(hosts[1].StoreRollout(t.Context(), known, progress)))
	status, err := s.Get(t.Context(), "status/rollout/s")
	require.NoError(t, err)
	require.JSONEq(t, `{"state":"running","to":"v2"}`, string(status.Value))
	for _, h := range hosts {
		eventually(t, 1000, func() bool { r := rolloutOf(h); return r.Progress.Of(r.Order) && r.Status.To == "v2" })
	}
	progress.Phase = canary.Shift
	require.NoError(t, hosts[1].StoreRollout(t.Context(), rolloutOf(hosts[1]), progress))
	again, err := s.Get(t.Context(), "status/rollout/s")
	require.NoError(t, err)
	require.Equal(t, status.Revision, again.Revision, "the status has not changed")
	eventually(t, 1000, func() bool { return rolloutOf(hosts[0]).Progress.Phase == canary.Shift })
	known = rolloutOf(hosts[0])
	setOrder(s, "v3", 20)
	progress.Phase = canary.Completed
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(hosts[0].StoreRollout(t.Context(), known, progress)))
}

// TestOrderGoesOnAfterAnOlderCopy guards against an order that starts anew, or is forgotten, since the
// store came back from an older copy.
func TestOrderGoesOnAfterAnOlderCopy(t *testing.T) {
	s, hosts := startDrill(t, 2)
	setOrder(s, "v2", 20)
	eventually(t, 1000, func() bool { return orderOf(hosts[0]) == "v2" && orderOf(hosts[1]) == "v2" })
	older := s.Copy()
	before := rolloutOf(hosts[0])
	progress := fleet.RolloutProgress{Order: before.Order.Revision.Number(), To: "v2", Phase: canary.RolledBack}
	require.NoError(t, hosts[0].StoreRollout(t.Context(), before, progress))
	restore(s, func() { s.Restore(older) })
	for _, h := range hosts {
		eventually(t, 2000, func() bool {
			return rolloutOf(h).OrderRevision.Era() > before.OrderRevision.Era() && rolloutOf(h).Progress.Revision == 0
		})
		require.Equal(t, before.Order.Revision, rolloutOf(h).Order.Revision, "the same order")
	}
	require.NoError(t, hosts[1].StoreRollout(t.Context(), rolloutOf(hosts[1]), progress))
	for _, h := range hosts {
		eventually(t, 1000, func() bool { v, ok := rolloutOf(h).Status.Rejected(); return ok && v == "v2" })
	}
}
