package gateway_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
)

// rolloutState returns a state with an order to v2 and endpoints of v1 and v2 of service s.
func rolloutState(old, isNew int) *fleet.State {
	s := fleet.NewState()
	s.SetRollout("s", fleet.Rollout{Order: canary.Order{Service: "s", To: "v2", Duration: 20_000, Revision: 9, At: 1000}, OrderRevision: 9})
	for i := range old {
		s.SetEndpoint(0, catalog.Endpoint{ID: cicadapitch.EndpointID(fmt.Sprint("old-", i)), Service: "s", Version: "v1"})
	}
	for i := range isNew {
		s.SetEndpoint(0, catalog.Endpoint{ID: cicadapitch.EndpointID(fmt.Sprint("new-", i)), Service: "s", Version: "v2"})
	}
	return s
}

// versions returns the versions of endpoints.
func versions(list []fleet.Endpoint) []cicadapitch.SoftwareVersion {
	return lo.Uniq(lo.Map(list, func(e fleet.Endpoint, _ int) cicadapitch.SoftwareVersion { return e.Version }))
}

var (
	onlyOld = []cicadapitch.SoftwareVersion{"v1"}
	onlyNew = []cicadapitch.SoftwareVersion{"v2"}
)

// TestNewVersionGetsNoMoreThanItsShareOfArrivals guards against a share that attempts use up which reach no
// endpoint, that retries exceed, or that streams which go on come on top of.
func TestNewVersionGetsNoMoreThanItsShareOfArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.3).Draw(t, "share")
		r := gateway.NewRollout(1000, "s", rolloutState(10, 10).View())
		arrivals, atNew, goneOn := 0, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "attempts") {
			r.Answer(1000, canary.Canary, share)
			switch rapid.IntRange(0, 9).Draw(t, "attempt") {
			case 0: // a stream that began at the new version goes on
				r.GoOn(1000, "new-0")
				arrivals, atNew, goneOn = arrivals+1, atNew+1, goneOn+1
			case 1: // nothing is sent
				_, _, end := r.Candidates(1000)
				end("")
			case 2: // the new version cannot take it
				list, fallback, end := r.Candidates(1000)
				if len(fallback) > 0 {
					require.Equal(t, onlyOld, versions(fallback))
					list = fallback
				}
				end(list[0].ID)
				arrivals++
			default:
				list, _, end := r.Candidates(1000)
				end(list[0].ID)
				arrivals++
				if list[0].Version == "v2" {
					atNew++
				}
			}
		}
		require.LessOrEqual(t, float64(atNew), share*float64(arrivals)+1+float64(goneOn))
		if goneOn == 0 {
			require.GreaterOrEqual(t, float64(atNew), 0.5*share*float64(arrivals)-4)
		}
	})
}

// TestHostsTogetherKeepTheShare guards against a share that each of many hosts rounds up.
func TestHostsTogetherKeepTheShare(t *testing.T) {
	const hosts, requests, share = 200, 20, 0.05
	atNew := 0
	for range hosts {
		r := gateway.NewRollout(1000, "s", rolloutState(10, 10).View())
		r.Answer(1000, canary.Canary, share)
		for range requests {
			list, _, end := r.Candidates(1000)
			end(list[0].ID)
			atNew += lo.Ternary(list[0].Version == "v2", 1, 0)
		}
	}
	require.InDelta(t, hosts*requests*share, atNew, 70) // five standard deviations
}

// TestHostWithoutAnAnswerSendsNothingToTheNewVersion guards against a host that is cut off from the owner of
// the rollout, or has just started, and does not hear of a rollback.
func TestHostWithoutAnAnswerSendsNothingToTheNewVersion(t *testing.T) {
	r := gateway.NewRollout(1000, "s", rolloutState(4, 4).View())
	attempt := func(now cicadapitch.Instant, n int) (atNew int) {
		for range n {
			list, _, end := r.Candidates(now)
			end(list[0].ID)
			atNew += lo.Ternary(list[0].Version == "v2", 1, 0)
		}
		return atNew
	}
	require.Zero(t, attempt(1000, 100))
	r.Answer(1000, canary.Canary, 0.2)
	require.Positive(t, attempt(1900, 100))
	require.Zero(t, attempt(2001, 100))
	r.Answer(3000, canary.Shift, 1)
	require.Equal(t, 100, attempt(9000, 100), "it goes on in Shift")
	r.Answer(9000, canary.Canary, 0.1)
	require.Equal(t, 100, attempt(9000, 100), "an earlier phase does not come back")
}

// TestVersionsByPhase guards against requests at a version that must not get them, also where no other can.
func TestVersionsByPhase(t *testing.T) {
	state := rolloutState(4, 4)
	r := gateway.NewRollout(1000, "s", state.View())
	r.Answer(1000, canary.Shift, 1)
	list, fallback, _ := r.Candidates(1500)
	require.Equal(t, onlyNew, versions(list))
	require.Equal(t, onlyOld, versions(fallback))
	_, fallback, _ = r.Candidates(3000)
	require.Empty(t, fallback, "the old version runs empty")
	require.False(t, r.Forbids("v1"), "streams go on there")
	r.Answer(3000, canary.Completed, 1)
	list, fallback, _ = r.Candidates(3000)
	require.Equal(t, onlyNew, versions(list))
	require.Empty(t, fallback)
	require.True(t, r.Forbids("v1"))
	require.False(t, r.Forbids("v2"))

	r = gateway.NewRollout(1000, "s", state.View())
	r.Answer(1000, canary.RolledBack, 0)
	list, fallback, _ = r.Candidates(1000)
	require.Equal(t, onlyOld, versions(list))
	require.Empty(t, fallback)
	require.True(t, r.Forbids("v2"))
	for i := range 4 {
		state.SetEndpoint(0, catalog.Endpoint{ID: cicadapitch.EndpointID(fmt.Sprint("old-", i)), Service: "s", Version: "v1", Leaving: true})
	}
	r.Update(2000, state.View())
	list, _, _ = r.Candidates(2000)
	require.Empty(t, list, "not even if no other version serves")

	r = gateway.NewRollout(1000, "s", rolloutState(0, 4).View())
	list, _, _ = r.Candidates(1000)
	require.Equal(t, onlyNew, versions(list), "there is no other version")
}

// TestRejectedVersionIsLeftOutWhileOthersServe covers a rollout that was rolled back and whose order was
// withdrawn, or replaced by another one.
func TestRejectedVersionIsLeftOutWhileOthersServe(t *testing.T) {
	state := rolloutState(2, 2)
	status := fleet.RolloutStatus{Phase: canary.RolledBack, To: "v2", Revision: 11}
	state.SetRollout("s", fleet.Rollout{Status: status})
	r := gateway.NewRollout(1000, "s", state.View())
	list, _, _ := r.Candidates(1000)
	require.Equal(t, onlyOld, versions(list))
	for i := range 2 {
		state.RemoveEndpoint(cicadapitch.EndpointID(fmt.Sprint("old-", i)))
	}
	r.Update(2000, state.View())
	list, _, _ = r.Candidates(2000)
	require.Equal(t, onlyNew, versions(list))

	state = rolloutState(2, 2)
	state.SetEndpoint(0, catalog.Endpoint{ID: "v3", Service: "s", Version: "v3"})
	state.SetRollout("s", fleet.Rollout{Order: canary.Order{Service: "s", To: "v3", Duration: 9000, Revision: 13, At: 1000}, OrderRevision: 13, Status: status})
	r = gateway.NewRollout(1000, "s", state.View())
	list, _, _ = r.Candidates(1000)
	require.Equal(t, onlyOld, versions(list))
}

// TestFewEndpointsGetTheShare guards against a canary that no endpoint feels: each of the new version's
// endpoints in use gets about as much as one of the old version. Warm ones are preferred.
func TestFewEndpointsGetTheShare(t *testing.T) {
	state := rolloutState(30, 30)
	state.SetEndpoint(0, catalog.Endpoint{ID: "new-warm", Service: "s", Version: "v2"})
	for i := range 30 {
		state.SetEndpoint(0, catalog.Endpoint{ID: cicadapitch.EndpointID(fmt.Sprint("new-", i)), Service: "s", Version: "v2", ColdFor: 60_000})
	}
	r := gateway.NewRollout(1000, "s", state.View())
	r.Answer(1000, canary.Canary, 0.1)
	used := map[cicadapitch.EndpointID]bool{}
	for range 1000 {
		list, _, end := r.Candidates(1000)
		end(list[0].ID)
		for _, e := range list {
			if e.Version == "v2" {
				used[e.ID] = true
			}
		}
	}
	require.Len(t, used, 3)
	require.True(t, used["new-warm"])
	require.Len(t, lo.Filter(r.Planned(1000), func(e fleet.Endpoint, _ int) bool { return e.Version == "v2" }), 3)
}

// TestTimesOfColdAndNewEndpointsDoNotCount guards against a rollback since new endpoints are cold, and against
// calls that hang and are never seen.
func TestTimesOfColdAndNewEndpointsDoNotCount(t *testing.T) {
	state := rolloutState(1, 1)
	state.SetEndpoint(0, catalog.Endpoint{ID: "new-0", Service: "s", Version: "v2", ColdFor: 8000})
	r := gateway.NewRollout(1000, "s", state.View())
	sum := func(times canary.Times) int { return int(lo.Sum(times[:])) }
	count := func() canary.RouteCounts { return r.Report(9000).Counts.Routes["route"] }
	r.Call(2000, "old-0", false, 50)
	require.Equal(t, uint32(1), count().Old.Answers)
	require.Zero(t, sum(count().Old.Times), "this host has known it for a second")
	r.Call(5000, "old-0", false, 50)
	require.Equal(t, 1, sum(count().Old.Times))
	r.Call(7000, "new-0", true, 50)
	require.Equal(t, [2]uint32{1, 1}, [2]uint32{count().New.Answers, count().New.Failures}, "failures of a cold one count")
	r.Call(7900, "new-0", false, 50)
	r.Begin(7900, "new-0")
	require.Zero(t, sum(count().New.Times)+sum(count().New.Pending))
	r.Call(8100, "new-0", false, 50)
	r.Begin(8100, "new-0")
	require.Equal(t, 1, sum(count().New.Times))
	require.Equal(t, 1, sum(count().New.Pending))
	r.Call(9000, "other", true, 50)
	require.Equal(t, uint32(3), count().New.Answers, "unknown endpoints count for none")
	require.Equal(t, canary.Canary, r.Report(9000).Phase)
	require.Equal(t, cicadapitch.StoreRevision(9), r.Report(9000).Revision)
}

// TestSessionsStayAtAVersion guards against prompts that are cached at neither version, since the requests of
// each session go to and fro. The share stays the same, also where there are few sessions.
func TestSessionsStayAtAVersion(t *testing.T) {
	const share = 0.08
	for sessions, leastCached := range map[int]float64{1: 0, 400: 0.6} {
		atNew, cached, seen := 0, 0, map[string]bool{}
		hosts := lo.Times(4, func(int) *gateway.Rollout { return gateway.NewRollout(1000, "s", rolloutState(10, 10).View()) })
		const requests = 40_000
		for n := range requests {
			r := hosts[n%len(hosts)]
			r.Session = fmt.Sprint(n * 7919 / 4 % sessions)
			r.Answer(1000, canary.Canary, share)
			list, _, end := r.Candidates(1000)
			end(list[0].ID)
			if list[0].Version == "v2" {
				atNew++
				cached += lo.Ternary(seen[r.Session], 1, 0)
				seen[r.Session] = true
			}
		}
		got := float64(atNew) / requests
		t.Logf("%d sessions: share %.3f, %d of %d requests of sessions that were at the new version before, %d sessions there", sessions, got, cached, atNew, len(seen))
		require.LessOrEqual(t, got, share+0.001)
		require.GreaterOrEqual(t, got, share/5)
		require.GreaterOrEqual(t, float64(cached), leastCached*float64(atNew))
		require.LessOrEqual(t, len(seen), max(sessions/4, 1))
	}
}

// TestTimesOfUncachedPromptsDoNotCount guards against a good version that is rolled back since the prompts of
// the sessions are not in its cache yet.
func TestTimesOfUncachedPromptsDoNotCount(t *testing.T) {
	r := gateway.NewRollout(1000, "s", rolloutState(1, 1).View())
	times := func() [2]int {
		c := r.Report(9000).Counts.Routes["route"]
		return [2]int{int(lo.Sum(c.Old.Times[:])), int(lo.Sum(c.New.Times[:]))}
	}
	r.Session, r.Shared = "long", 12_000
	r.Call(5000, "old-0", false, 50)
	r.Call(5000, "new-0", false, 250)
	require.Equal(t, [2]int{0, 0}, times())
	r.Call(5000, "new-0", false, 50)
	require.Equal(t, [2]int{0, 1}, times())
	r.Session, r.Shared = "short", 800
	r.Call(5000, "old-0", false, 50)
	require.Equal(t, [2]int{1, 1}, times())
}

// TestNewVersionMeetsTheLoadOfAnOldEndpoint guards against a version that is bad only under load and does not
// meet any in Canary, since its only endpoint in use gets a fraction of what an old one gets.
func TestNewVersionMeetsTheLoadOfAnOldEndpoint(t *testing.T) {
	const share = 0.08
	for _, old := range []int{1, 3, 5, 11, 12, 40} {
		sum, most := 0.0, 0.0
		for now := cicadapitch.Instant(0); now < 30_000; now++ {
			s := gateway.LoadShare(now, share, old)
			sum, most = sum+s, max(most, s)
		}
		require.InDelta(t, share, sum/30_000, 0.001, "%d old endpoints", old)
		// The load of the new version's endpoints as a part of an old one's.
		few := max(math.Round(most*float64(old)), 1)
		require.GreaterOrEqual(t, most/few, 0.75*min((1-most)/float64(old), 0.25), "%d old endpoints", old)
	}
	require.Zero(t, gateway.LoadShare(0, 0, 3))
}
