package endpoint_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// table drives a State and keeps the calls that it has started.
type table struct {
	state   *endpoint.State
	now     cicadapitch.Instant
	running map[cicadapitch.AttemptID]cicadapitch.EndpointID
	refused map[cicadapitch.AttemptID]endpoint.Command
	next    int
}

// newTable returns a shard of n endpoints whose load has not been read yet.
func newTable(n int, cold, warm cicadapitch.Slots) *table {
	t := &table{
		state:   endpoint.NewState(endpoint.StandardPolicy()),
		now:     1000,
		running: make(map[cicadapitch.AttemptID]cicadapitch.EndpointID),
		refused: make(map[cicadapitch.AttemptID]endpoint.Command),
	}
	t.configure(testConfiguration(n, cold, warm))
	return t
}

func (t *table) configure(cfg *cicadapitch.Configuration) {
	t.take(t.state.Configure(t.now, cfg, cfg.Shards()[0]))
}

func (t *table) take(commands []endpoint.Command) {
	for _, c := range commands {
		if c.Action == endpoint.Start {
			t.running[c.Attempt] = c.Endpoint.ID
			continue
		}
		t.refused[c.Attempt] = c
	}
}

// report reads a load report of every endpoint.
func (t *table) report(r cicadapitch.LoadReport, ids ...cicadapitch.EndpointID) {
	for _, id := range ids {
		t.take(t.state.Report(t.now, t.now, id, r))
	}
}

func (t *table) submit(remaining cicadapitch.Millis) cicadapitch.AttemptID {
	t.next++
	id := cicadapitch.AttemptID{Request: cicadapitch.RequestID(fmt.Sprint(t.next)), Stage: "s"}
	t.take(t.state.Submit(t.now, endpoint.Job{
		Attempt: id, Customer: "c", Share: 1, Deadline: t.now.Add(remaining), Idempotent: true,
	}))
	return id
}

// finish ends all running calls after span with an outcome.
func (t *table) finish(span cicadapitch.Millis, outcome endpoint.CallOutcome) {
	t.now = t.now.Add(span)
	ended := t.running
	t.running = make(map[cicadapitch.AttemptID]cicadapitch.EndpointID)
	for n := 1; n <= t.next; n++ {
		id := cicadapitch.AttemptID{Request: cicadapitch.RequestID(fmt.Sprint(n)), Stage: "s"}
		if _, ok := ended[id]; ok {
			t.take(t.state.Finish(t.now, endpoint.CallEnd{Attempt: id, Outcome: outcome}))
		}
	}
}

func (t *table) fill(n int) {
	for range n {
		t.submit(10 * cicadapitch.Minute)
	}
}

// warm brings all endpoints to their warm slots.
func (t *table) warm(ids ...cicadapitch.EndpointID) {
	t.now = t.now.Add(cicadapitch.Second)
	t.report(cicadapitch.LoadReport{}, ids...)
	for range 20 {
		t.fill(8 * len(ids))
		t.finish(100, endpoint.Succeeded)
		t.report(cicadapitch.LoadReport{}, ids...)
	}
	for len(t.running) > 0 {
		t.finish(100, endpoint.Succeeded)
	}
}

func TestNothingStartsBeforeTheRunningWorkIsKnown(t *testing.T) {
	tb := newTable(1, 3, 8)
	tb.fill(5)
	tb.report(cicadapitch.LoadReport{}, "a")
	require.Empty(t, tb.running, "the report may be older than the claim")
	tb.now = tb.now.Add(cicadapitch.Second)
	tb.report(cicadapitch.LoadReport{Running: 2}, "a")
	require.Len(t, tb.running, 1, "two calls of the previous owner and one of ours")
	tb.now = tb.now.Add(cicadapitch.Second)
	tb.report(cicadapitch.LoadReport{Running: 1}, "a")
	require.Len(t, tb.running, 3)
}

func TestUnreadableEndpointStartsOnceForeignWorkHasEnded(t *testing.T) {
	tb := newTable(1, 2, 8)
	tb.fill(5)
	tb.now = tb.now.Add(endpoint.StandardPolicy().ForeignWork - 1)
	tb.take(tb.state.Tick(tb.now))
	require.Empty(t, tb.running)
	tb.now++
	tb.take(tb.state.Tick(tb.now))
	require.Len(t, tb.running, 2)
}

func TestSlotsGrowByCompletedWork(t *testing.T) {
	tb := newTable(1, 1, 8)
	tb.warm("a")
	tb.fill(20)
	// Without a first output only the bound of a cold start holds for engines.
	require.Equal(t, cicadapitch.Slots(8), tb.state.Load(tb.now).Total)
}

func TestEndpointThatReportsColdDoesNotGrow(t *testing.T) {
	tb := newTable(1, 2, 8)
	tb.now = tb.now.Add(cicadapitch.Second)
	tb.report(cicadapitch.LoadReport{Cold: true}, "a")
	for range 10 {
		tb.fill(4)
		tb.finish(100, endpoint.Succeeded)
		require.Equal(t, cicadapitch.Slots(2), tb.state.Load(tb.now).Total)
	}
}

func TestLateFirstOutputHoldsBackNewWork(t *testing.T) {
	tb := newTable(1, 2, 8)
	tb.warm("a")
	tb.fill(1)
	tb.now = tb.now.Add(250)
	tb.take(tb.state.Tick(tb.now))
	tb.fill(1)
	require.Len(t, tb.running, 1, "the first call takes more than twice its usual time")
	tb.finish(1, endpoint.Succeeded)
	tb.take(tb.state.Tick(tb.now))
	require.Len(t, tb.running, 1, "the second starts after the first has answered")
}

func TestColdAgainFallsBackAtOnce(t *testing.T) {
	signs := map[string]func(*table){
		"report":  func(tb *table) { tb.report(cicadapitch.LoadReport{Cold: true}, "a") },
		"latency": func(tb *table) { tb.fill(1); tb.finish(1000, endpoint.Succeeded) },
		"failure": func(tb *table) { tb.fill(1); tb.finish(100, endpoint.Broken) },
		"refusal": func(tb *table) { tb.fill(1); tb.finish(100, endpoint.Declined) },
		"overdue": func(tb *table) {
			tb.fill(1)
			tb.now = tb.now.Add(1000)
			tb.take(tb.state.Tick(tb.now))
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, 1, 8)
			tb.warm("a")
			require.Equal(t, cicadapitch.Slots(8), tb.state.Load(tb.now).Total)
			sign(tb)
			require.Equal(t, cicadapitch.Slots(1), tb.state.Load(tb.now).Total)
		})
	}
}

func TestUnprovenCallsStayWithinTheColdBound(t *testing.T) {
	tb := newTable(1, 2, 8)
	tb.warm("a")
	tb.fill(8)
	require.Len(t, tb.running, 2)
	tb.now = tb.now.Add(10)
	for id := range maps.Clone(tb.running) {
		tb.take(tb.state.Progress(tb.now, id))
	}
	require.Len(t, tb.running, 4)
}

func TestNoNewWorkForEndpointsThatLeave(t *testing.T) {
	out := testConfiguration(1, 2, 8)
	out.Revision = 2
	out.Endpoints[0].Out = true
	zone := testConfiguration(1, 2, 8)
	zone.Revision = 2
	zone.Zones[0].Out = true
	leave := map[string]func(*table){
		"report":   func(tb *table) { tb.report(cicadapitch.LoadReport{Leaving: true}, "a") },
		"endpoint": func(tb *table) { tb.configure(out) },
		"zone":     func(tb *table) { tb.configure(zone) },
	}
	for name, act := range leave {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, 2, 8)
			tb.warm("a")
			tb.fill(1)
			act(tb)
			id := tb.submit(cicadapitch.Minute)
			require.Len(t, tb.running, 1, "running work goes on")
			require.Equal(t, endpoint.NoEndpoint, tb.refused[id].Cause)
			require.Positive(t, tb.refused[id].RetryAfter)
		})
	}
}

func TestReturnedEndpointStartsCold(t *testing.T) {
	out := testConfiguration(1, 1, 8)
	out.Endpoints[0].Out = true
	tb := newTable(1, 1, 8)
	tb.warm("a")
	tb.configure(out)
	tb.configure(testConfiguration(1, 1, 8))
	require.Equal(t, cicadapitch.Slots(1), tb.state.Load(tb.now).Total)
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	tb := newTable(1, 1, 1)
	tb.warm("a")
	tb.fill(10)
	id := tb.submit(300)
	require.Equal(t, endpoint.Unreachable, tb.refused[id].Cause)
	require.Greater(t, tb.refused[id].RetryAfter, cicadapitch.Millis(100))
}

func TestQueuedJobIsRefusedOnceItsDeadlineCannotBeMet(t *testing.T) {
	tb := newTable(1, 1, 1)
	tb.warm("a")
	tb.fill(1)
	id := tb.submit(500)
	require.Empty(t, tb.refused)
	tb.now = tb.now.Add(450)
	tb.take(tb.state.Tick(tb.now))
	require.Equal(t, endpoint.Expired, tb.refused[id].Cause)
}

func TestWithdrawnJobNeverStarts(t *testing.T) {
	tb := newTable(1, 1, 1)
	tb.warm("a")
	tb.fill(1)
	id := tb.submit(cicadapitch.Minute)
	tb.take(tb.state.Withdraw(tb.now, id))
	tb.finish(100, endpoint.Succeeded)
	require.NotContains(t, tb.running, id)
	require.Equal(t, endpoint.Withdrawn, tb.refused[id].Cause)
}

// A job that an endpoint declined waits again. Given up then, it must leave the
// queue: started later, it would hold a slot that nobody frees.
func TestDeclinedJobThatIsWithdrawnNeverStarts(t *testing.T) {
	tb := newTable(1, 1, 1)
	tb.now = tb.now.Add(cicadapitch.Second)
	tb.report(cicadapitch.LoadReport{}, "a")
	declined := tb.submit(cicadapitch.Minute)
	require.Len(t, tb.running, 1)
	tb.submit(cicadapitch.Minute)
	tb.now = tb.now.Add(10)
	delete(tb.running, declined)
	tb.take(tb.state.Finish(tb.now, endpoint.CallEnd{Attempt: declined, Outcome: endpoint.Declined}))
	require.NotContains(t, tb.running, declined, "the other job goes first")
	tb.take(tb.state.Withdraw(tb.now, declined))
	require.Contains(t, tb.refused, declined)
	tb.finish(100, endpoint.Succeeded)
	require.Empty(t, tb.running, "the withdrawn job started")
	last := tb.submit(cicadapitch.Minute)
	require.Contains(t, tb.running, last, "the slot is free")
}

func TestEjectionLeavesHalfIn(t *testing.T) {
	tb := newTable(4, 1, 1)
	ids := []cicadapitch.EndpointID{"a", "b", "c", "d"}
	tb.warm(ids...)
	for range 20 {
		tb.fill(4)
		tb.finish(100, endpoint.Broken)
		tb.report(cicadapitch.LoadReport{}, ids...)
	}
	require.Equal(t, cicadapitch.Slots(2), tb.state.Load(tb.now).Total)
}

func TestEjectedEndpointIsReadmittedByAProbe(t *testing.T) {
	tb := newTable(2, 1, 4)
	tb.warm("a", "b")
	for range 3 {
		tb.fill(2)
		tb.finish(100, endpoint.Broken)
		tb.now = tb.now.Add(cicadapitch.Second)
		tb.report(cicadapitch.LoadReport{}, "a", "b")
	}
	tb.now = tb.now.Add(endpoint.StandardPolicy().EjectMax)
	tb.take(tb.state.Tick(tb.now))
	for range 10 {
		tb.fill(4)
		tb.finish(100, endpoint.Succeeded)
		tb.report(cicadapitch.LoadReport{}, "a", "b")
	}
	require.Greater(t, tb.state.Load(tb.now).Total, cicadapitch.Slots(2))
}
