package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
)

// The bound on an endpoint that has named a limit: from contactTime after it first did so,
// limitFactor times what it allows in any limitWindow, and limitExtra more.
const (
	contactTime = 3 * cicadapitch.Second
	limitWindow = 4 * cicadapitch.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitHost is a host of a simulated fleet that shares the limits of endpoints.
type limitHost struct {
	chooser *placement.Chooser
	limits  *placement.RateLimits
	// disturbedAt is when the host last started or its last cut ends.
	disturbedAt, cutUntil cicadapitch.Instant
}

func newLimitHost(now cicadapitch.Instant) *limitHost {
	h := &limitHost{chooser: chooser(), limits: placement.NewRateLimits(), disturbedAt: now}
	h.chooser.SetRateLimits(h.limits)
	return h
}

// TestRateLimitHoldsOverAllHosts sends far more work than a limited endpoint takes from
// hosts that exchange heartbeats, restart and are cut off from each other. Calls of hosts
// that were disturbed lately do not count.
func TestRateLimitHoldsOverAllHosts(t *testing.T) {
	for _, service := range []*catalog.Service{engines, {Name: "booking"}} {
		for _, limit := range []float64{0, 0.3, 1, 3, 20} {
			for _, n := range []int{1, 8, 88} {
				rng := rand.New(rand.NewPCG(uint64(n), uint64(10*limit)))
				e := endpoints(1)[0]
				var hosts []*limitHost
				for range n {
					hosts = append(hosts, newLimitHost(0))
				}
				var counted []cicadapitch.Instant
				for at := cicadapitch.Millis(0); at < 16_000; at += 20 {
					now := start.Add(at)
					if n > 1 && rng.IntN(100) == 0 {
						i := rng.IntN(n)
						if rng.IntN(2) == 0 {
							hosts[i] = newLimitHost(now)
						} else {
							hosts[i].cutUntil = now.Add(1500)
							hosts[i].disturbedAt = hosts[i].cutUntil
						}
					}
					for i, h := range hosts {
						criteria := placement.Criteria{Service: service, Session: "s", Hosts: n, Rank: func(string) int { return i }}
						if h.send(now, e, criteria, limit) && at >= contactTime && now >= h.disturbedAt.Add(contactTime) {
							counted = append(counted, now)
						}
						if (at/20+cicadapitch.Millis(i))%20 == 0 {
							exchange(rng, hosts, h, now)
						}
					}
				}
				allowed := int(limitFactor*float64(limitWindow)/1000*limit) + limitExtra
				for i, first := range counted {
					in := 0
					for _, at := range counted[i:] {
						if at.Sub(first) < limitWindow {
							in++
						}
					}
					require.LessOrEqual(t, in, allowed, "%s, %d hosts, limit %v", service.Name, n, limit)
				}
				if limit >= 1 {
					require.NotEmpty(t, counted, "%s, %d hosts, limit %v", service.Name, n, limit)
				}
			}
		}
	}
}

// send sends a call to the endpoint if the host may, records the limit in the answer, and
// reports whether it did so.
func (h *limitHost) send(now cicadapitch.Instant, e fleet.Endpoint, criteria placement.Criteria, limit float64) bool {
	choose := h.chooser.ChoosePlain
	if criteria.Service.Engine != nil {
		choose = h.chooser.ChooseEngine
	}
	if _, ok := choose(now, []fleet.Endpoint{e}, criteria); !ok {
		return false
	}
	h.chooser.RecordStart(e.ID)
	h.chooser.RecordEnd(e.ID)
	h.limits.Record(now, now.Add(-50), e.Endpoint, placement.Said{Limited: true, PerSecond: limit})
	return true
}

// exchange sends heartbeats of a host to up to 12 others and back.
func exchange(rng *rand.Rand, hosts []*limitHost, h *limitHost, now cicadapitch.Instant) {
	for range min(12, len(hosts)-1) {
		o := hosts[rng.IntN(len(hosts))]
		if o == h || now < o.cutUntil || now < h.cutUntil {
			continue
		}
		reports := h.limits.Reports(now.Add(-30))
		h.limits.Merge(now, o.limits.Reports(now.Add(-30)))
		o.limits.Merge(now, reports)
	}
}

// TestLimitEndsWithALaterAnswerWithoutOne guards against an answer to a call that was sent
// before the limit was named, and against hosts that restore a limit which has ended.
func TestLimitEndsWithALaterAnswerWithoutOne(t *testing.T) {
	a, b := placement.NewRateLimits(), placement.NewRateLimits()
	e := catalog.Endpoint{ID: "e0", Started: 1}
	a.Record(start, start.Add(-50), e, placement.Said{Limited: true, PerSecond: 2})
	b.Merge(start.Add(100), a.Reports(start.Add(80)))
	a.Record(start.Add(200), start.Add(-100), e, placement.Said{})
	limit, ok := a.Of(e)
	require.True(t, ok)
	require.Equal(t, 2.0, limit)
	a.Record(start.Add(1000), start.Add(900), e, placement.Said{})
	for i := range 10 {
		at := start.Add(cicadapitch.Millis(1100 + 400*i))
		a.Merge(at, b.Reports(at.Add(-30)))
		b.Merge(at, a.Reports(at.Add(-30)))
	}
	for _, l := range []*placement.RateLimits{a, b} {
		_, ok = l.Of(e)
		require.False(t, ok)
	}
}

func TestRestartedEndpointHasNoLimitUntilItNamesOne(t *testing.T) {
	l := placement.NewRateLimits()
	l.Record(start, start, catalog.Endpoint{ID: "e0", Started: 1}, placement.Said{Limited: true, PerSecond: 2})
	_, ok := l.Of(catalog.Endpoint{ID: "e0", Started: 2})
	require.False(t, ok)
	l.Retain(start, func(cicadapitch.EndpointID) bool { return false })
	require.Empty(t, l.Reports(start))
}
