package origin_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/origin"
)

const start cicadapitch.Instant = 1_000_000

func versions(v ...cicadapitch.SoftwareVersion) map[catalog.ServiceID][]cicadapitch.SoftwareVersion {
	return map[catalog.ServiceID][]cicadapitch.SoftwareVersion{"s": v}
}

func TestRegistryKeepsTheFirstRecordUntilItExpires(t *testing.T) {
	r := origin.NewRegistry()
	first := origin.Origin{Service: "s", Version: "v1"}
	r.Add(start, origin.Record{Request: "a", Origin: first, Lifetime: 100})
	r.Add(start.Add(50), origin.Record{Request: "a", Origin: origin.Origin{Service: "s", Version: "v2"}, Lifetime: 100})
	got, ok := r.Find(start.Add(99), "a")
	require.True(t, ok)
	require.Equal(t, first, got)
	_, ok = r.Find(start.Add(100), "a")
	require.False(t, ok)
}

func TestFullRegistryDropsTheOldestRecords(t *testing.T) {
	r := origin.NewRegistry()
	const n = 200_000
	for i := range n {
		r.Add(start, origin.Record{Request: cicadapitch.RequestID(fmt.Sprint(i)), Lifetime: cicadapitch.Minute})
	}
	held := 0
	for i := range n {
		if _, ok := r.Find(start, cicadapitch.RequestID(fmt.Sprint(i))); ok {
			held++
		}
	}
	require.Equal(t, 16*4096, held)
	_, ok := r.Find(start, cicadapitch.RequestID(fmt.Sprint(n-1)))
	require.True(t, ok)
}

func TestHistoryRemembersVersionsThatHaveVanished(t *testing.T) {
	h := origin.NewHistory()
	seen, complete := h.Seen(start, "s", 0)
	require.Empty(t, seen)
	require.False(t, complete)
	h.Observe(start, versions("v1"))
	h.Observe(start.Add(1000), versions("v1", "v2"))
	h.Observe(start.Add(2000), versions("v2"))
	seen, complete = h.Seen(start.Add(3000), "s", 1000)
	require.ElementsMatch(t, []cicadapitch.SoftwareVersion{"v1", "v2"}, seen)
	require.True(t, complete)
	seen, complete = h.Seen(start.Add(3001), "s", 1000)
	require.Equal(t, []cicadapitch.SoftwareVersion{"v2"}, seen)
	require.True(t, complete)
	_, complete = h.Seen(start.Add(3001), "s", 4000)
	require.False(t, complete, "the history does not reach back that far")
}

// TestStreamsNeverGoOnAtAnotherVersion replaces the endpoints of a service at random and
// lets hosts start, learn of versions late and lose records. A stream whose origin is
// resolved has that origin, if one of the hosts asked has learned of each change in time.
func TestStreamsNeverGoOnAtAnotherVersion(t *testing.T) {
	const window = 1000
	rapid.Check(t, func(t *rapid.T) {
		type host struct {
			registry *origin.Registry
			history  *origin.History
		}
		newHost := func() *host { return &host{origin.NewRegistry(), origin.NewHistory()} }
		hosts := []*host{newHost(), newHost(), newHost()}
		present := []cicadapitch.SoftwareVersion{"v1"}
		now := start
		began := map[cicadapitch.RequestID]origin.Record{}
		beganAt := map[cicadapitch.RequestID]cicadapitch.Instant{}
		observe := func() {
			for _, h := range hosts {
				h.history.Observe(now, versions(present...))
			}
		}
		observe()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(cicadapitch.Millis(rapid.IntRange(0, 700).Draw(t, "pause")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				present = rapid.SliceOfNDistinct(rapid.SampledFrom([]cicadapitch.SoftwareVersion{"v1", "v2", "v3"}), 1, 2, rapid.ID[cicadapitch.SoftwareVersion]).Draw(t, "present")
				observe()
			case 1:
				hosts[rapid.IntRange(0, 2).Draw(t, "restarted")] = newHost()
				observe()
			default:
				id := cicadapitch.RequestID(fmt.Sprint(i))
				rec := origin.Record{Request: id, Origin: origin.Origin{Service: "s", Version: rapid.SampledFrom(present).Draw(t, "version")}, Lifetime: window}
				began[id], beganAt[id] = rec, now
				for _, h := range hosts {
					if rapid.Bool().Draw(t, "told") {
						h.registry.Add(now, rec)
					}
				}
			}
			for id, rec := range began {
				if now.Sub(beganAt[id]) >= window {
					continue // the caller does not wait any more
				}
				var claims []origin.Claim
				for _, h := range hosts {
					var c origin.Claim
					c.Origin, c.Recorded = h.registry.Find(now, id)
					c.Seen, c.Complete = h.history.Seen(now, "s", window)
					claims = append(claims, c)
				}
				if o, source := origin.Resolve("s", claims); source != origin.Unknown {
					require.Equal(t, rec.Origin, o, source.String())
				}
			}
		}
	})
}
