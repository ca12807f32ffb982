package endpoint_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// harness drives a State on virtual time and records the commands that it
// returned.
type harness struct {
	state   *endpoint.State
	now     cicadapitch.Instant
	running map[cicadapitch.AttemptID]cicadapitch.EndpointID
	refused map[cicadapitch.AttemptID]endpoint.Command
	next    int
}

// newHarness returns a harness for a shard of n endpoints, none of which has
// reported its load.
func newHarness(n int, cold, warm cicadapitch.Slots) *harness {
	h := &harness{
		state:   endpoint.NewState(endpoint.StandardPolicy()),
		now:     1000,
		running: make(map[cicadapitch.AttemptID]cicadapitch.EndpointID),
		refused: make(map[cicadapitch.AttemptID]endpoint.Command),
	}
	h.configure(testConfiguration(n, cold, warm))
	return h
}

func (h *harness) configure(cfg *cicadapitch.Configuration) {
	h.apply(h.state.Configure(h.now, cfg, cfg.Shards()[0]))
}

// apply records commands.
func (h *harness) apply(commands []endpoint.Command) {
	for _, c := range commands {
		if c.Action == endpoint.Start {
			h.running[c.Attempt] = c.Endpoint.ID
			continue
		}
		h.refused[c.Attempt] = c
	}
}

// report applies the same load report for each endpoint.
func (h *harness) report(r cicadapitch.LoadReport, ids ...cicadapitch.EndpointID) {
	for _, id := range ids {
		h.apply(h.state.Report(h.now, h.now, id, r))
	}
}

// submit submits a job that must end within remaining.
func (h *harness) submit(remaining cicadapitch.Millis) cicadapitch.AttemptID {
	h.next++
	id := cicadapitch.AttemptID{Request: cicadapitch.RequestID(fmt.Sprint(h.next)), Stage: "s"}
	h.apply(h.state.Submit(h.now, endpoint.Job{
		Attempt: id, Customer: "c", Share: 1, Deadline: h.now.Add(remaining), Idempotent: true,
	}))
	return id
}

// finish advances the time by after and ends all running calls with an outcome.
func (h *harness) finish(after cicadapitch.Millis, outcome endpoint.CallOutcome) {
	h.now = h.now.Add(after)
	ended := h.running
	h.running = make(map[cicadapitch.AttemptID]cicadapitch.EndpointID)
	for n := 1; n <= h.next; n++ {
		id := cicadapitch.AttemptID{Request: cicadapitch.RequestID(fmt.Sprint(n)), Stage: "s"}
		if _, ok := ended[id]; ok {
			h.apply(h.state.Finish(h.now, endpoint.CallEnd{Attempt: id, Outcome: outcome}))
		}
	}
}

// submitMany submits n jobs with distant deadlines.
func (h *harness) submitMany(n int) {
	for range n {
		h.submit(10 * cicadapitch.Minute)
	}
}

// warmUp completes calls until all endpoints have their warm slots.
func (h *harness) warmUp(ids ...cicadapitch.EndpointID) {
	h.now = h.now.Add(cicadapitch.Second)
	h.report(cicadapitch.LoadReport{}, ids...)
	for range 20 {
		h.submitMany(8 * len(ids))
		h.finish(100, endpoint.Succeeded)
		h.report(cicadapitch.LoadReport{}, ids...)
	}
	for len(h.running) > 0 {
		h.finish(100, endpoint.Succeeded)
	}
}

// Running calls of the shard's previous owner must not make an endpoint exceed
// its slots. A report from before the claim cannot count them.
func TestNoCallStartsBeforeRunningCallsAreCounted(t *testing.T) {
	h := newHarness(1, 3, 8)
	h.submitMany(5)
	h.report(cicadapitch.LoadReport{}, "a")
	require.Empty(t, h.running, "the report may be older than the claim")
	h.now = h.now.Add(cicadapitch.Second)
	h.report(cicadapitch.LoadReport{Running: 2}, "a")
	require.Len(t, h.running, 1, "two calls of the previous owner and one of this one")
	h.now = h.now.Add(cicadapitch.Second)
	h.report(cicadapitch.LoadReport{Running: 1}, "a")
	require.Len(t, h.running, 3)
}

func TestEndpointWithoutReportsStartsAfterUntrackedCallsEnd(t *testing.T) {
	h := newHarness(1, 2, 8)
	h.submitMany(5)
	h.now = h.now.Add(endpoint.StandardPolicy().UntrackedTimeout - 1)
	h.apply(h.state.Tick(h.now))
	require.Empty(t, h.running)
	h.now++
	h.apply(h.state.Tick(h.now))
	require.Len(t, h.running, 2)
}

func TestSlotsGrowWithCompletedCalls(t *testing.T) {
	h := newHarness(1, 1, 8)
	h.warmUp("a")
	h.submitMany(20)
	// Load counts all slots, although an engine gets at most its cold slots
	// until calls have shown a first output.
	require.Equal(t, cicadapitch.Slots(8), h.state.Load(h.now).Total)
}

func TestEndpointReportingColdGetsNoMoreSlots(t *testing.T) {
	h := newHarness(1, 2, 8)
	h.now = h.now.Add(cicadapitch.Second)
	h.report(cicadapitch.LoadReport{Cold: true}, "a")
	for range 10 {
		h.submitMany(4)
		h.finish(100, endpoint.Succeeded)
		require.Equal(t, cicadapitch.Slots(2), h.state.Load(h.now).Total)
	}
}

func TestLateFirstOutputStallsTheEndpoint(t *testing.T) {
	h := newHarness(1, 2, 8)
	h.warmUp("a")
	h.submitMany(1)
	h.now = h.now.Add(250)
	h.apply(h.state.Tick(h.now))
	h.submitMany(1)
	require.Len(t, h.running, 1, "the first call takes more than twice its expected time")
	h.finish(1, endpoint.Succeeded)
	h.apply(h.state.Tick(h.now))
	require.Len(t, h.running, 1, "the second starts after the first has answered")
}

func TestSignOfColdnessResetsSlotsAtOnce(t *testing.T) {
	coldSigns := map[string]func(*harness){
		"report":  func(h *harness) { h.report(cicadapitch.LoadReport{Cold: true}, "a") },
		"latency": func(h *harness) { h.submitMany(1); h.finish(1000, endpoint.Succeeded) },
		"failure": func(h *harness) { h.submitMany(1); h.finish(100, endpoint.Broken) },
		"refusal": func(h *harness) { h.submitMany(1); h.finish(100, endpoint.Declined) },
		"overdue": func(h *harness) {
			h.submitMany(1)
			h.now = h.now.Add(1000)
			h.apply(h.state.Tick(h.now))
		},
	}
	for name, coldSign := range coldSigns {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1, 1, 8)
			h.warmUp("a")
			require.Equal(t, cicadapitch.Slots(8), h.state.Load(h.now).Total)
			coldSign(h)
			require.Equal(t, cicadapitch.Slots(1), h.state.Load(h.now).Total)
		})
	}
}

func TestUnconfirmedCallsAreLimitedToColdSlots(t *testing.T) {
	h := newHarness(1, 2, 8)
	h.warmUp("a")
	h.submitMany(8)
	require.Len(t, h.running, 2)
	h.now = h.now.Add(10)
	for id := range maps.Clone(h.running) {
		h.apply(h.state.Progress(h.now, id))
	}
	require.Len(t, h.running, 4)
}

func TestEndpointOutOfServiceGetsNoNewCalls(t *testing.T) {
	out := testConfiguration(1, 2, 8)
	out.Revision = 2
	out.Endpoints[0].Out = true
	zone := testConfiguration(1, 2, 8)
	zone.Revision = 2
	zone.Zones[0].Out = true
	waysOutOfService := map[string]func(*harness){
		"report":   func(h *harness) { h.report(cicadapitch.LoadReport{Leaving: true}, "a") },
		"endpoint": func(h *harness) { h.configure(out) },
		"zone":     func(h *harness) { h.configure(zone) },
	}
	for name, takeOut := range waysOutOfService {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1, 2, 8)
			h.warmUp("a")
			h.submitMany(1)
			takeOut(h)
			id := h.submit(cicadapitch.Minute)
			require.Len(t, h.running, 1, "the running call continues")
			require.Equal(t, endpoint.NoEndpoint, h.refused[id].Cause)
			require.Positive(t, h.refused[id].RetryAfter)
		})
	}
}

func TestReturnedEndpointStartsCold(t *testing.T) {
	out := testConfiguration(1, 1, 8)
	out.Endpoints[0].Out = true
	h := newHarness(1, 1, 8)
	h.warmUp("a")
	h.configure(out)
	h.configure(testConfiguration(1, 1, 8))
	require.Equal(t, cicadapitch.Slots(1), h.state.Load(h.now).Total)
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	h := newHarness(1, 1, 1)
	h.warmUp("a")
	h.submitMany(10)
	id := h.submit(300)
	require.Equal(t, endpoint.Unreachable, h.refused[id].Cause)
	require.Greater(t, h.refused[id].RetryAfter, cicadapitch.Millis(100))
}

func TestQueuedJobIsRefusedOnceItsDeadlineCannotBeMet(t *testing.T) {
	h := newHarness(1, 1, 1)
	h.warmUp("a")
	h.submitMany(1)
	id := h.submit(500)
	require.Empty(t, h.refused)
	h.now = h.now.Add(450)
	h.apply(h.state.Tick(h.now))
	require.Equal(t, endpoint.Expired, h.refused[id].Cause)
}

func TestWithdrawnJobNeverStarts(t *testing.T) {
	h := newHarness(1, 1, 1)
	h.warmUp("a")
	h.submitMany(1)
	id := h.submit(cicadapitch.Minute)
	h.apply(h.state.Withdraw(h.now, id))
	h.finish(100, endpoint.Succeeded)
	require.NotContains(t, h.running, id)
	require.Equal(t, endpoint.Withdrawn, h.refused[id].Cause)
}

// TestDeclinedJobThatIsWithdrawnNeverStarts withdraws a job that an endpoint
// declined and that is queued again. The job must leave the queue: if it
// started later, no caller would finish it and it would occupy a slot forever.
func TestDeclinedJobThatIsWithdrawnNeverStarts(t *testing.T) {
	h := newHarness(1, 1, 1)
	h.now = h.now.Add(cicadapitch.Second)
	h.report(cicadapitch.LoadReport{}, "a")
	declined := h.submit(cicadapitch.Minute)
	require.Len(t, h.running, 1)
	h.submit(cicadapitch.Minute)
	h.now = h.now.Add(10)
	delete(h.running, declined)
	h.apply(h.state.Finish(h.now, endpoint.CallEnd{Attempt: declined, Outcome: endpoint.Declined}))
	require.NotContains(t, h.running, declined, "the other job goes first")
	h.apply(h.state.Withdraw(h.now, declined))
	require.Contains(t, h.refused, declined)
	h.finish(100, endpoint.Succeeded)
	require.Empty(t, h.running, "the withdrawn job started")
	last := h.submit(cicadapitch.Minute)
	require.Contains(t, h.running, last, "the slot is free")
}

func TestEjectionLeavesHalfOfTheEndpoints(t *testing.T) {
	h := newHarness(4, 1, 1)
	ids := []cicadapitch.EndpointID{"a", "b", "c", "d"}
	h.warmUp(ids...)
	for range 20 {
		h.submitMany(4)
		h.finish(100, endpoint.Broken)
		h.report(cicadapitch.LoadReport{}, ids...)
	}
	require.Equal(t, cicadapitch.Slots(2), h.state.Load(h.now).Total)
}

func TestEjectedEndpointIsReadmittedAfterSuccessfulCalls(t *testing.T) {
	h := newHarness(2, 1, 4)
	h.warmUp("a", "b")
	for range 3 {
		h.submitMany(2)
		h.finish(100, endpoint.Broken)
		h.now = h.now.Add(cicadapitch.Second)
		h.report(cicadapitch.LoadReport{}, "a", "b")
	}
	h.now = h.now.Add(endpoint.StandardPolicy().MaxEjection)
	h.apply(h.state.Tick(h.now))
	for range 10 {
		h.submitMany(4)
		h.finish(100, endpoint.Succeeded)
		h.report(cicadapitch.LoadReport{}, "a", "b")
	}
	require.Greater(t, h.state.Load(h.now).Total, cicadapitch.Slots(2))
}
