package placement_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
)

// free is a service of engines without a limit for cold ones.
var free = &catalog.Service{Name: "engines", Engine: &catalog.EngineSpec{Slots: 64, KVCapacityTokens: 450_000}}

// promptOf returns the criteria of a request of a session that shares tokens and has own tokens.
func promptOf(session string, shared, own cicadapitch.Tokens) placement.Criteria {
	return placement.Criteria{
		Service: free, Session: session, Hosts: 6, Route: "r",
		Prompt: []catalog.PromptPart{{ID: session, Tokens: shared}, {ID: "own", Tokens: own}},
	}
}

// predicted returns the prediction of a request at one engine. Another engine is the first of the session, so
// that it does not count as cached at this one without a record.
func predicted(t *testing.T, c *placement.Chooser, now cicadapitch.Instant, e fleet.Endpoint, criteria placement.Criteria) placement.Prediction {
	for i := range 100 {
		other := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: cicadapitch.EndpointID(fmt.Sprint("other", i))}}
		both := []fleet.Endpoint{e, other}
		if fleet.Rank(criteria.Session, both, func(e fleet.Endpoint) string { return string(e.ID) })[0].ID == e.ID {
			continue
		}
		// Only this engine is near the lowest cost.
		criteria.OtherWork = map[cicadapitch.EndpointID]placement.ReportedWork{other.ID: {EngineWork: placement.EngineWork{Prefill: 100_000_000}}}
		chosen, p, ok := c.PredictEngine(now, both, criteria)
		require.True(t, ok)
		require.Equal(t, e.ID, chosen.ID)
		return p
	}
	t.Fatal("no other engine comes first")
	return placement.Prediction{}
}

// TestIdleEnginesKeepTheirSessions guards against hosts that send a session to several engines without need:
// each of these would read its prompt.
func TestIdleEnginesKeepTheirSessions(t *testing.T) {
	for _, shared := range []cicadapitch.Tokens{300, 9_000, 54_000} {
		criteria := promptOf("s1", shared, 600)
		first, ok := chooser().ChooseEngine(start, endpoints(9), criteria)
		require.True(t, ok)
		for range 20 {
			c := chooser()
			e, p, ok := c.PredictEngine(start, endpoints(9), criteria)
			require.True(t, ok)
			require.Equal(t, first.ID, e.ID)
			c.RecordRun(start, e, criteria, p)
		}
	}
}

// TestRequestsWithoutASessionSpread guards against all requests that share nothing going to the first engine
// of the empty session.
func TestRequestsWithoutASessionSpread(t *testing.T) {
	used := map[cicadapitch.EndpointID]int{}
	for i := range 90 {
		criteria := promptOf("", 0, 600)
		criteria.Prompt, criteria.Request = criteria.Prompt[1:], fmt.Sprint("request", i)
		e, ok := chooser().ChooseEngine(start, endpoints(9), criteria)
		require.True(t, ok)
		used[e.ID]++
	}
	require.Len(t, used, 9)
}

// TestExcludedPausedAndEjectedEnginesGetNoWork guards the limits of the choice by calls in the choice by work.
func TestExcludedPausedAndEjectedEnginesGetNoWork(t *testing.T) {
	c, list := chooser(), endpoints(4)
	c.Health("e1").Pause(start.Add(1000))
	for range 5 {
		c.Health("e2").RecordFailure(start, 1)
	}
	for i := range 50 {
		criteria := promptOf(fmt.Sprint(i), 1000, 600)
		criteria.Exclude = map[cicadapitch.EndpointID]bool{"e0": true}
		e, ok := c.ChooseEngine(start, list, criteria)
		require.True(t, ok)
		require.Equal(t, cicadapitch.EndpointID("e3"), e.ID)
	}
}

// TestColdEnginesGetFewRequestsByWork guards the limit of cold engines in the choice by work.
func TestColdEnginesGetFewRequestsByWork(t *testing.T) {
	c, cold := chooser(), endpoints(1)
	cold[0].WarmAt = start.Add(60_000)
	criteria := promptOf("s", 1000, 600)
	criteria.Service, criteria.Rank = engines, func(string) int { return 0 }
	n := 0
	for at := cicadapitch.Millis(0); at < 1000; at += 10 {
		if e, p, ok := c.PredictEngine(start.Add(at), cold, criteria); ok {
			c.EndRun(c.RecordRun(start.Add(at), e, criteria, p))
			n++
		}
	}
	require.LessOrEqual(t, n, 4)
	require.Positive(t, n)
}

// TestEnginesOfTheInputsZoneComeFirstUnlessTheyAreBusy guards against large inputs that cross zones for a few
// milliseconds, and against a zone whose engines are overloaded keeping its requests.
func TestEnginesOfTheInputsZoneComeFirstUnlessTheyAreBusy(t *testing.T) {
	criteria := promptOf("s", 1000, 600)
	criteria.Zone = "z1"
	e, _ := chooser().ChooseEngine(start, endpoints(6), criteria)
	require.Equal(t, cicadapitch.ZoneID("z1"), e.Zone)
	busy := placement.ReportedWork{EngineWork: placement.EngineWork{Prefill: 40_000, Output: 100}}
	criteria.OtherWork = map[cicadapitch.EndpointID]placement.ReportedWork{"e1": busy, "e4": busy}
	e, _ = chooser().ChooseEngine(start, endpoints(6), criteria)
	require.NotEqual(t, cicadapitch.ZoneID("z1"), e.Zone)
}

// TestCallsWithoutWorkCountAsMeanRequests covers heartbeats of earlier builds, which name calls only.
func TestCallsWithoutWorkCountAsMeanRequests(t *testing.T) {
	c, list := chooser(), endpoints(2)
	long := promptOf("s", 9000, 3000)
	e, p, _ := c.PredictEngine(start, list[:1], long)
	run := c.RecordRun(start, e, long, p)
	c.RecordFirstEvent(start.Add(100), run, 100)
	c.EndRun(run)
	reports := placement.NewEngineReports()
	reports.Add(map[cicadapitch.EndpointID]int{"e0": 5}, nil, 100)
	reports.Add(map[cicadapitch.EndpointID]int{"e0": 1, "e1": 5}, map[cicadapitch.EndpointID]placement.EngineWork{"e0": {Output: 50}, "e1": {Output: 250}}, 300)
	require.Equal(t, 5, reports.Work["e0"].UnknownCalls)
	require.Zero(t, reports.Work["e1"].UnknownCalls)
	require.Equal(t, map[cicadapitch.EndpointID]int{"e0": 6, "e1": 5}, reports.Calls)
	require.EqualValues(t, 300, reports.Age)
	for i := range 20 {
		criteria := promptOf(fmt.Sprint("new", i), 300, 300)
		criteria.OtherLoads, criteria.OtherWork = reports.Calls, reports.Work
		e, _ := c.ChooseEngine(start.Add(200), list, criteria)
		require.Equal(t, cicadapitch.EndpointID("e1"), e.ID)
	}
}

// TestOldReportsLetTheNumberOfCallsDecide covers reports that are older than what they say holds.
func TestOldReportsLetTheNumberOfCallsDecide(t *testing.T) {
	criteria := promptOf("s", 1000, 600)
	criteria.OtherLoads = map[cicadapitch.EndpointID]int{"e0": 40, "e1": 1, "e2": 40}
	criteria.OtherWork = map[cicadapitch.EndpointID]placement.ReportedWork{"e1": {EngineWork: placement.EngineWork{Prefill: 1_000_000}}}
	criteria.ReportAge = 2000
	e, p, _ := chooser().PredictEngine(start, endpoints(3), criteria)
	require.True(t, p.Known)
	require.NotEqual(t, cicadapitch.EndpointID("e1"), e.ID)
	criteria.ReportAge = 2001
	e, p, _ = chooser().PredictEngine(start, endpoints(3), criteria)
	require.False(t, p.Known)
	byCalls := criteria
	byCalls.Prompt = nil
	want, _ := chooser().ChooseEngine(start, endpoints(3), byCalls)
	require.Equal(t, want.ID, e.ID)
}

// TestRestartedEngineHasNothingCachedAndNoPace covers an engine whose process is another one: it has read no
// prompt, and may run on another machine.
func TestRestartedEngineHasNothingCachedAndNoPace(t *testing.T) {
	c, e := chooser(), endpoints(1)[0]
	e.Started = 1
	criteria := promptOf("s", 9000, 3000)
	before := predicted(t, c, start, e, criteria)
	require.EqualValues(t, 12_000, before.Uncached)
	for i := range 20 {
		now := start.Add(cicadapitch.Millis(1000 * i))
		run := c.RecordRun(now, e, criteria, predicted(t, c, now, e, criteria))
		c.RecordFirstEvent(now, run, 600)
		c.EndRun(run)
	}
	running := c.RecordRun(start.Add(20_000), e, criteria, predicted(t, c, start.Add(20_000), e, criteria))
	learned := predicted(t, c, start.Add(20_000), e, criteria)
	require.EqualValues(t, 3000, learned.Uncached)
	require.NotEmpty(t, c.Work())
	e.Started = 2
	restarted := predicted(t, c, start.Add(20_000), e, criteria)
	require.EqualValues(t, 12_000, restarted.Uncached)
	require.Empty(t, c.Work())
	// The end of a call at the process before does not count against the new one.
	c.RecordRun(start.Add(20_000), e, criteria, restarted)
	work := c.Work()
	c.EndRun(running)
	require.Equal(t, work, c.Work())
	// As the first engine of the session, too, it counts as cached only after a time.
	alone := []fleet.Endpoint{e}
	other := promptOf("other", 9000, 3000)
	_, p, _ := c.PredictEngine(start.Add(20_100), alone, other)
	require.EqualValues(t, 12_000, p.Uncached)
	_, p, _ = c.PredictEngine(start.Add(24_000), alone, other)
	require.Less(t, p.Uncached, cicadapitch.Tokens(4000))
}

// TestPromptWithoutFirstEventIsNotCached covers requests that were refused or broke off before their first
// event.
func TestPromptWithoutFirstEventIsNotCached(t *testing.T) {
	c, e := chooser(), endpoints(1)[0]
	criteria := promptOf("s", 9000, 3000)
	c.EndRun(c.RecordRun(start, e, criteria, predicted(t, c, start, e, criteria)))
	require.EqualValues(t, 12_000, predicted(t, c, start, e, criteria).Uncached)
	require.Empty(t, c.Work())
	parts, tokens := c.CachedParts(e.ID)
	require.Zero(t, parts)
	require.Zero(t, tokens)
	// What an earlier request brought stays.
	c.RecordFirstEvent(start, c.RecordRun(start, e, criteria, predicted(t, c, start, e, criteria)), 100)
	c.EndRun(c.RecordRun(start, e, criteria, predicted(t, c, start, e, criteria)))
	require.EqualValues(t, 3000, predicted(t, c, start, e, criteria).Uncached)
}

// TestCachedPartExpires covers sessions that have ended: engines evict their parts.
func TestCachedPartExpires(t *testing.T) {
	c, e := chooser(), endpoints(1)[0]
	criteria := promptOf("s", 9000, 3000)
	c.RecordFirstEvent(start, c.RecordRun(start, e, criteria, predicted(t, c, start, e, criteria)), 100)
	require.EqualValues(t, 3000, predicted(t, c, start.Add(59_000), e, criteria).Uncached)
	require.EqualValues(t, 12_000, predicted(t, c, start.Add(60_000), e, criteria).Uncached)
}

// TestRecordOfCachedPartsIsBounded guards a host's memory against many sessions and against prompts of absurd
// length.
func TestRecordOfCachedPartsIsBounded(t *testing.T) {
	c, e := chooser(), endpoints(1)
	for i := range 3000 {
		criteria := promptOf(fmt.Sprint(i), cicadapitch.Tokens(1)<<(i%32), 1<<31)
		e, p, ok := c.PredictEngine(start, e, criteria)
		require.True(t, ok)
		require.False(t, math.IsNaN(p.FirstEvent) || math.IsInf(p.FirstEvent, 0) || p.FirstEvent < 0)
		c.RecordFirstEvent(start, c.RecordRun(start, e, criteria, p), 100)
		require.True(t, c.Work()[e.ID].Valid())
	}
	parts, tokens := c.CachedParts("e0")
	require.LessOrEqual(t, parts, 512)
	require.LessOrEqual(t, tokens, free.Engine.KVCapacityTokens)
	c.Retain(func(cicadapitch.EndpointID) bool { return false })
	require.NotZero(t, c.Work(), "calls run there")
}

// TestSlowEngineIsFoundAndForgotten guards against a single slow answer that counts as a slow engine, and
// against an engine that counts as slow for good once it gets no requests.
func TestSlowEngineIsFoundAndForgotten(t *testing.T) {
	c, list := chooser(), endpoints(2)
	criteria := promptOf("s", 0, 6500)
	answer := func(now cicadapitch.Instant, e fleet.Endpoint, took cicadapitch.Millis) float64 {
		run := c.RecordRun(now, e, criteria, predicted(t, c, now, e, criteria))
		c.RecordFirstEvent(now, run, took)
		c.EndRun(run)
		return predicted(t, c, now, e, criteria).FirstEvent
	}
	now, usual := start, 0.0
	for range 15 {
		now = now.Add(200)
		answer(now, list[1], 110)
		usual = answer(now, list[0], 110)
	}
	require.InDelta(t, 110, usual, 15)
	require.Less(t, answer(now, list[0], 5000), 1.3*usual, "one slow answer")
	slow := 0.0
	for range 50 {
		now = now.Add(200)
		answer(now, list[1], 110)
		slow = answer(now, list[0], 220)
	}
	require.Greater(t, slow, 1.6*usual)
	for range 300 {
		now = now.Add(200)
		answer(now, list[1], 110)
	}
	require.Less(t, predicted(t, c, now, list[0], criteria).FirstEvent, 1.1*usual)
}

// TestWorkEndsWithTheCalls guards against work that stays for good, and keeps requests away from an engine.
func TestWorkEndsWithTheCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, list := chooser(), endpoints(3)
		var runs []*placement.Run
		now := start
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(cicadapitch.Millis(rapid.IntRange(0, 500).Draw(rt, "pause")))
			step := rapid.IntRange(0, 3).Draw(rt, "step")
			switch {
			case step == 0 && len(runs) > 0:
				i := rapid.IntRange(0, len(runs)-1).Draw(rt, "answered")
				c.RecordFirstEvent(now, runs[i], cicadapitch.Millis(rapid.Int64Range(-1, 1<<40).Draw(rt, "took")))
			case step == 1 && len(runs) > 0:
				i := rapid.IntRange(0, len(runs)-1).Draw(rt, "ended")
				c.EndRun(runs[i])
				runs = append(runs[:i], runs[i+1:]...)
			case step == 2:
				list[rapid.IntRange(0, 2).Draw(rt, "restarted")].Started++
			default:
				criteria := promptOf(rapid.SampledFrom([]string{"a", "b", ""}).Draw(rt, "session"), cicadapitch.Tokens(rapid.Int64Range(0, 1<<31).Draw(rt, "shared")), 10)
				criteria.Output = cicadapitch.Tokens(rapid.Int64Range(0, 1<<31).Draw(rt, "output"))
				if rapid.Bool().Draw(rt, "by calls") {
					criteria.Prompt = nil
				}
				e, p, ok := c.PredictEngine(now, list, criteria)
				require.True(rt, ok)
				runs = append(runs, c.RecordRun(now, e, criteria, p))
			}
			for _, w := range c.Work() {
				require.True(rt, w.Prefill >= 0 && w.Output >= 0 && w.Held >= 0)
			}
		}
		for _, r := range runs {
			c.EndRun(r)
		}
		require.Empty(rt, c.Work())
		require.Empty(rt, c.Loads())
	})
}

// TestExpectedOutputFollowsTheAnswers covers hints that are far off and limits that callers state.
func TestExpectedOutputFollowsTheAnswers(t *testing.T) {
	l := placement.NewOutputLengths()
	require.EqualValues(t, 150, l.Expected("r", 0, 0))
	require.EqualValues(t, 20, l.Expected("r", 0, 20))
	for range 200 {
		l.Record("r", 400)
	}
	require.EqualValues(t, 400, l.Expected("r", 0, 4000))
	require.EqualValues(t, 300, l.Expected("r", 200, 4000))
	require.EqualValues(t, 1000, l.Expected("r", math.MaxInt64, 4000))
	require.EqualValues(t, 250, l.Expected("r", 1, 4000))
	require.EqualValues(t, 150, l.Expected("other", 0, 4000))
}
