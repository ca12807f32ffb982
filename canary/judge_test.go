package canary_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
)

const longest = 2 * cicadapitch.Second

// order is one of 30 s: Shift begins at 26 s.
var order = canary.Order{Service: "s", To: "v2", Duration: 30_000, Revision: 5, At: start}

// bench drives a judge with reports of hosts.
type bench struct {
	judge   *canary.Judge
	live    []string
	reports map[string]*canary.Report
	now     cicadapitch.Instant
	// silent hosts send no reports.
	silent map[string]bool
	// perReport are the answers of both versions in 250 ms at each host, and newFailures those of the new one
	// that fail.
	oldAnswers, newAnswers, newFailures uint32
	decision                            canary.Decision
	// stale is set while the owner cannot write the phase to the store.
	stale bool
}

func newBench(opts ...canary.Option) *bench {
	b := &bench{
		judge: canary.NewJudge(order, canary.Bounds{}, opts...), now: start, reports: map[string]*canary.Report{},
		silent: map[string]bool{}, oldAnswers: 20, newAnswers: 2,
	}
	b.judge.SetEndpoints(10, 1)
	for i := range 3 {
		name := fmt.Sprintf("host-%d", i)
		b.live = append(b.live, name)
		b.reports[name] = &canary.Report{Revision: 5, Incarnation: "a", Old: 1}
	}
	return b
}

// count adds the answers of 250 ms to a report.
func (b *bench) count(r *canary.Report) {
	r.Sequence++
	rc := r.Counts.Routes["r"]
	rc.Old.Answers += b.oldAnswers
	rc.Old.Times[8] += b.oldAnswers
	rc.New.Answers += b.newAnswers
	rc.New.Failures += b.newFailures
	rc.New.Times[8] += b.newAnswers - b.newFailures
	r.Counts.Routes = map[string]canary.RouteCounts{"r": rc}
}

// run goes on for a time. Hosts that are not silent follow the phase.
func (b *bench) run(m cicadapitch.Millis) canary.Decision {
	for end := b.now.Add(m); b.now < end; b.now = b.now.Add(250) {
		for _, host := range b.live {
			if b.silent[host] {
				continue
			}
			r := b.reports[host]
			b.count(r)
			b.judge.Report(b.now, host, *r)
			if !b.stale && b.decision.Phase != r.Phase {
				r.Phase, r.Old = b.decision.Phase, 0
			}
		}
		b.decision = b.judge.Decide(b.now, b.live, longest)
		if !b.stale {
			b.judge.Recorded(b.judge.State())
		}
	}
	return b.decision
}

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	b := newBench()
	require.Equal(t, canary.Canary, b.run(25_900).Phase)
	require.InDelta(t, 0.08, b.decision.Share, 1e-9, "orders without bounds get defaults")
	require.Equal(t, start.Add(26_000), b.decision.ShiftAt)
	require.Equal(t, canary.Shift, b.run(250).Phase)
	require.InDelta(t, 1, b.decision.Share, 0)
	require.Equal(t, canary.Completed, b.run(3750).Phase)
	require.LessOrEqual(t, b.now, start.Add(30_000))
}

func TestBadVersionIsRolledBackWithEvidence(t *testing.T) {
	b := newBench()
	b.run(5000)
	b.newFailures = 1
	d := b.run(5000)
	require.Equal(t, canary.RolledBack, d.Phase)
	require.Zero(t, d.Share)
	require.Equal(t, canary.Failures, d.Evidence[0].Test)
	require.GreaterOrEqual(t, d.Evidence[0].Ratio, d.Evidence[0].Limit)
	require.True(t, d.Evidence[0].Noticed)
	require.Contains(t, d.Reason, "failed on")
	require.Equal(t, d.Reason, b.run(60_000).Reason, "it stays")
}

// Guards against a version that answers nothing at all until its calls time out: calls that wait count as slow.
func TestVersionThatNeverAnswersIsRolledBack(t *testing.T) {
	b := newBench()
	b.run(5000)
	b.newAnswers = 0
	for range 40 {
		for _, r := range b.reports {
			rc := r.Counts.Routes["r"]
			rc.New.Pending[12] += 2
			r.Counts.Routes["r"] = rc
		}
		b.run(250)
	}
	require.Equal(t, canary.RolledBack, b.decision.Phase)
	require.Equal(t, canary.Slowness, b.decision.Evidence[0].Test)
}

// Guards against reports that count twice, or an old one that takes counts away.
func TestRepeatedAndReorderedReportsDoNoHarm(t *testing.T) {
	plain, disturbed := newBench(), newBench()
	for i := range 100 {
		late := *disturbed.reports["host-0"]
		plain.run(250)
		disturbed.run(250)
		for range 3 {
			disturbed.judge.Report(disturbed.now, "host-0", late)
			disturbed.judge.Report(disturbed.now, "host-1", *disturbed.reports["host-1"])
		}
		require.Equal(t, plain.decision, disturbed.decision, "step %d", i)
	}
}

// Guards against a late report that takes back what a newer one of the same process said.
func TestLateReportDoesNotTakeBackTheShift(t *testing.T) {
	b := newBench()
	b.run(26_000)
	late := *b.reports["host-0"]
	require.Equal(t, canary.Canary, late.Phase)
	b.run(2750)
	require.Equal(t, canary.Shift, b.decision.Phase)
	b.judge.Report(b.now, "host-0", late)
	b.now = start.Add(29_000)
	require.Equal(t, canary.Completed, b.judge.Decide(b.now, b.live, longest).Phase)
}

// Guards against evidence from counts that a broken host lowers and raises.
func TestCountsOfAProcessNeverDecrease(t *testing.T) {
	b := newBench()
	b.silent["host-0"] = true
	r := *b.reports["host-0"]
	for i := range uint32(80) {
		r.Sequence++
		r.Counts.Routes = map[string]canary.RouteCounts{"r": {New: canary.VersionCounts{Answers: 50 * (i / 2 % 2)}}}
		b.judge.Report(b.now, "host-0", r)
		b.run(250)
	}
	require.Equal(t, canary.Canary, b.decision.Phase)
	sent := b.reports["host-1"].Counts.Routes["r"].New.Answers + b.reports["host-2"].Counts.Routes["r"].New.Answers + 50
	for _, e := range b.decision.Evidence {
		require.LessOrEqual(t, e.New.Answers, int64(sent))
	}
}

// Guards against an owner that never returns from a decision, because a broken host reports failures after their answers.
func TestFailuresWithoutAnswersEndNoDecision(t *testing.T) {
	b := newBench()
	r := canary.Report{Revision: 5, Incarnation: "x"}
	for i := range uint32(40) {
		r.Sequence++
		v := canary.VersionCounts{Answers: 10_000, Failures: 100 * i}
		r.Counts.Routes = map[string]canary.RouteCounts{"r": {Old: v, New: v}}
		b.judge.Report(b.now, "broken", r)
		b.run(250)
	}
	require.NotEqual(t, canary.Completed, b.decision.Phase)
}

// Guards against the loss of what a host counted before it restarted, and against its late reports.
func TestRestartedHostKeepsItsCounts(t *testing.T) {
	b := newBench()
	b.run(8000)
	last := *b.reports["host-0"]
	b.reports["host-0"] = &canary.Report{Revision: 5, Incarnation: "b"}
	b.run(250)
	evidence := b.decision.Evidence
	b.judge.Report(b.now, "host-0", last)
	b.run(500)
	require.GreaterOrEqual(t, b.decision.Evidence[0].New.Answers, evidence[0].New.Answers)

	// A late report of the ended process in Canary must not keep its successor from completion for long.
	b.run(19_000)
	require.Equal(t, canary.Shift, b.decision.Phase)
	last.Sequence += 1000
	b.judge.Report(b.now, "host-0", last)
	require.Equal(t, canary.Completed, b.run(3000).Phase)
}

// Guards against completion while a restarted host, which knows no phase yet, sends requests to the old version.
func TestRestartedHostMustConfirmTheShift(t *testing.T) {
	b := newBench()
	b.run(26_500)
	require.Equal(t, canary.Shift, b.decision.Phase)
	b.reports["host-0"] = &canary.Report{Revision: 5, Incarnation: "b", Old: 1}
	b.stale = true // The host does not learn the phase.
	require.Equal(t, canary.Shift, b.run(3500).Phase)
	require.Equal(t, []string{"host-0"}, b.decision.Waiting)
	b.stale = false
	require.Equal(t, canary.Completed, b.run(3000).Phase)
}

// Guards against completion while calls, such as streams, run at the old version, and against waiting for ever.
func TestCompletionWaitsForRunningCallsUpToTheLongest(t *testing.T) {
	b := newBench()
	b.run(26_500)
	b.reports["host-1"].Old = 1
	require.Equal(t, canary.Shift, b.run(5000).Phase, "past the deadline")
	b.reports["host-1"].Old = 0
	require.Equal(t, canary.Completed, b.run(500).Phase)

	b = newBench()
	b.run(26_500)
	b.reports["host-1"].Old = 1
	require.Equal(t, canary.Completed, b.run(30_000).Phase)
	require.Contains(t, b.decision.Reason, "host-1")
	require.InDelta(t, float64(start.Add(30_000+longest)), float64(b.judge.State().Since), 500)
}

// Guards against waiting for ever for a host that is alive but whose reports don't arrive.
func TestSilentHostIsWaitedForUpToABound(t *testing.T) {
	b := newBench()
	b.silent["host-2"] = true
	require.Equal(t, canary.Shift, b.run(31_000).Phase)
	require.Equal(t, []string{"host-2"}, b.decision.Waiting)
	require.Equal(t, canary.Completed, b.run(2500).Phase)
}

func TestEndedHostIsNotWaitedFor(t *testing.T) {
	b := newBench()
	b.silent["host-2"] = true
	b.run(27_000)
	b.live = b.live[:2]
	require.Equal(t, canary.Completed, b.run(2500).Phase)
}

func TestServiceWithoutTrafficCompletesInTime(t *testing.T) {
	b := newBench()
	b.oldAnswers, b.newAnswers = 0, 0
	require.Equal(t, canary.Completed, b.run(30_000).Phase)
}

// Guards against a shift to endpoints that do not exist, or that came a moment ago.
func TestVersionWithoutEndpointsStaysInCanary(t *testing.T) {
	b := newBench()
	b.judge.SetEndpoints(10, 0)
	b.newAnswers = 0
	d := b.run(40_000)
	require.Equal(t, canary.Canary, d.Phase)
	require.Zero(t, d.Share)
	require.Contains(t, d.Reason, "v2")
	b.judge.SetEndpoints(10, 1)
	require.Equal(t, canary.Canary, b.run(9000).Phase)
	require.Equal(t, canary.Completed, b.run(3000).Phase)
}

// Guards against completion while the new version has lost its endpoints.
func TestShiftWithoutEndpointsDoesNotComplete(t *testing.T) {
	b := newBench()
	b.run(27_000)
	b.judge.SetEndpoints(10, 0)
	require.Equal(t, canary.Shift, b.run(20_000).Phase)
}

func TestInvalidOrderChangesNoTraffic(t *testing.T) {
	for name, change := range map[string]func(*canary.Order){
		"duration 0":      func(o *canary.Order) { o.Duration = 0 },
		"endless":         func(o *canary.Order) { o.Duration = 1 << 62 },
		"without version": func(o *canary.Order) { o.To = "" },
		"without service": func(o *canary.Order) { o.Service = "" },
	} {
		t.Run(name, func(t *testing.T) {
			o := order
			change(&o)
			require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(o.Check()))
			j := canary.NewJudge(o, canary.Bounds{})
			j.SetEndpoints(1, 1)
			d := j.Decide(start.Add(100_000), []string{"a"}, longest)
			require.Equal(t, canary.Canary, d.Phase)
			require.Zero(t, d.Share)
			require.Contains(t, d.Reason, "write the order again")
		})
	}
}

func TestReportsOfAnotherOrderHaveNoEffect(t *testing.T) {
	b := newBench()
	r := canary.Report{Revision: 4, Incarnation: "a", Sequence: 1, Counts: canary.Counts{Routes: map[string]canary.RouteCounts{
		"r": {Old: canary.VersionCounts{Answers: 100_000}, New: canary.VersionCounts{Answers: 10_000, Failures: 10_000}},
	}}}
	b.judge.Report(start, "host-9", r)
	require.Equal(t, canary.Canary, b.run(3000).Phase)
}

// Guards against half of the calls to an old version that end when the longest call is longer than the order.
func TestShiftLeavesHalfOfAShortOrderForTheCanary(t *testing.T) {
	j := canary.NewJudge(order, canary.Bounds{})
	j.SetEndpoints(10, 1)
	d := j.Decide(start, nil, cicadapitch.Minute)
	require.Equal(t, start.Add(15_000), d.ShiftAt)
	require.Equal(t, start.Add(15_000), j.Decide(start, nil, 0).ShiftAt, "an unknown longest call is taken as 30 s")
}

// The owner ends: the next one gets all counts with the next reports, and the phase from the record.
func TestSuccessorGoesOn(t *testing.T) {
	for _, at := range []cicadapitch.Millis{5000, 20_000, 27_000} {
		b := newBench()
		b.run(at)
		state := b.judge.State()
		later := order
		later.At = b.now // The successor has just started.
		b.judge = canary.NewJudge(later, canary.Bounds{}, canary.WithState(state))
		b.judge.SetEndpoints(10, 1)
		require.Equal(t, state.Phase, b.judge.Decide(b.now, b.live, longest).Phase)
		require.Equal(t, canary.Completed, b.run(30_000-at+1000).Phase, "after %d ms", at)
	}
}

func TestSuccessorRollsABadVersionBack(t *testing.T) {
	b := newBench()
	b.run(5000)
	b.newFailures = 1
	b.run(750)
	require.Equal(t, canary.Canary, b.decision.Phase)
	b.judge = canary.NewJudge(order, canary.Bounds{}, canary.WithState(b.judge.State()))
	b.judge.SetEndpoints(10, 1)
	require.Equal(t, canary.RolledBack, b.run(5000).Phase)
}

// Two owners for a moment: the record that was written wins, and a final phase stays.
func TestRecordOfAnotherOwnerWins(t *testing.T) {
	state := func(p canary.Phase) canary.State { return canary.State{Revision: 5, Phase: p, Since: start} }
	for _, c := range []struct {
		name              string
		resumed, recorded canary.Phase
		want              canary.Phase
	}{
		{"rolled back by the other", canary.Shift, canary.RolledBack, canary.RolledBack},
		{"shifted by the other", canary.Canary, canary.Shift, canary.Shift},
		{"older copy of the store", canary.Shift, canary.Canary, canary.Shift},
		{"older copy after the rollback", canary.RolledBack, canary.Canary, canary.RolledBack},
		{"completed after the rollback", canary.RolledBack, canary.Completed, canary.RolledBack},
		{"rolled back after the completion", canary.Completed, canary.RolledBack, canary.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := canary.NewJudge(order, canary.Bounds{}, canary.WithState(state(c.resumed)))
			j.SetEndpoints(1, 1)
			j.Recorded(state(c.recorded))
			require.Equal(t, c.want, j.Decide(start.Add(1000), []string{"a"}, longest).Phase)
			require.Equal(t, c.want, j.State().Phase)
		})
	}
	j := canary.NewJudge(order, canary.Bounds{}, canary.WithState(canary.State{Revision: 4, Phase: canary.RolledBack}))
	require.Equal(t, canary.Canary, j.State().Phase, "a repeated order begins anew")
}

// A completion that was decided but not written gives way to the rollback that another owner wrote.
func TestUnrecordedCompletionGivesWay(t *testing.T) {
	b := newBench()
	b.run(28_500)
	b.stale = true
	require.Equal(t, canary.Completed, b.run(1500).Phase)
	b.judge.Recorded(canary.State{Revision: 5, Phase: canary.RolledBack, Since: b.now})
	require.Equal(t, canary.RolledBack, b.judge.Decide(b.now, b.live, longest).Phase)
}

// The store is unavailable: no host shifts, so nothing completes, and a rollback is decided all the same.
func TestStoreUnavailableDuringTheShift(t *testing.T) {
	b := newBench()
	b.stale = true
	require.Equal(t, canary.Shift, b.run(60_000).Phase)
	b.newFailures = 1
	require.Equal(t, canary.RolledBack, b.run(5000).Phase)

	b = newBench()
	b.stale = true
	b.run(40_000)
	b.stale = false
	require.Equal(t, canary.Completed, b.run(1500).Phase)
}

// Guards against a false rollback when the new version's endpoints come late, or a successor takes over: the old version may
// have been faster at the time in which the new one served nothing.
func TestTimeWithoutNewVersionIsNotCompared(t *testing.T) {
	for name, successor := range map[string]bool{"late endpoints": false, "successor": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			b.oldAnswers, b.newAnswers = 100, 0
			b.run(8000)
			b.newAnswers, b.newFailures = 10, 5
			// From now on, both versions fail in 1 of 2 answers.
			failOld := func() {
				for _, r := range b.reports {
					rc := r.Counts.Routes["r"]
					rc.Old.Failures += 50
					r.Counts.Routes["r"] = rc
				}
			}
			if successor {
				for range 16 {
					failOld()
					for _, r := range b.reports {
						b.count(r)
					}
				}
				b.judge = canary.NewJudge(order, canary.Bounds{}, canary.WithState(b.judge.State()))
				b.judge.SetEndpoints(10, 1)
			}
			for range 40 {
				failOld()
				b.run(250)
			}
			require.Equal(t, canary.Canary, b.decision.Phase, b.decision.Reason)
		})
	}
}
