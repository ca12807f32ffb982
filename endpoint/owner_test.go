package endpoint_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// fixedConfiguration provides a configuration that does not change.
type fixedConfiguration struct{ cfg *cicadapitch.Configuration }

func (f fixedConfiguration) Current() *cicadapitch.Configuration { return f.cfg }

// fakeDriver counts the calls of each attempt. The functions answer and load, if
// set, give its responses.
type fakeDriver struct {
	mu     sync.Mutex
	calls  map[cicadapitch.AttemptID]int
	answer func(ctx context.Context, c cicadapitch.Call, sink func(string)) (cicadapitch.CallResult, error)
	load   func(e cicadapitch.Endpoint) cicadapitch.LoadReport
}

func newFakeDriver() *fakeDriver {
	return &fakeDriver{calls: make(map[cicadapitch.AttemptID]int)}
}

func (d *fakeDriver) Call(ctx context.Context, c cicadapitch.Call, sink func(string)) (cicadapitch.CallResult, error) {
	d.mu.Lock()
	d.calls[c.Attempt]++
	d.mu.Unlock()
	if d.answer != nil {
		return d.answer(ctx, c, sink)
	}
	sink("a")
	sink("b")
	return cicadapitch.CallResult{Output: "ab", Tokens: 2}, nil
}

func (d *fakeDriver) Load(_ context.Context, e cicadapitch.Endpoint) (cicadapitch.LoadReport, error) {
	if d.load != nil {
		return d.load(e), nil
	}
	return cicadapitch.LoadReport{}, nil
}

func (d *fakeDriver) Order(context.Context, cicadapitch.Endpoint, cicadapitch.EndpointOrder) error {
	return nil
}

// count returns the number of calls of an attempt.
func (d *fakeDriver) count(id cicadapitch.AttemptID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[id]
}

// testConfiguration returns a configuration with one pool of n endpoints, all in
// the shard "sh".
func testConfiguration(n int, cold, warm cicadapitch.Slots) *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{
		Revision: 1,
		Weight:   0.5,
		Zones:    []cicadapitch.Zone{{ID: "z1", Region: "r"}},
		Pools: []cicadapitch.Pool{{
			ID: "p", Kind: cicadapitch.Engine, ColdSlots: cold, WarmSlots: warm, CostPerSlotSecond: 1,
		}},
		Pipelines: []cicadapitch.Pipeline{{ID: "pl", Stages: []cicadapitch.Stage{{ID: "s", Pool: "p", ExpectedMillis: 100}}}},
	}
	for i := range n {
		cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{
			ID: cicadapitch.EndpointID(rune('a' + i)), Pool: "p", Zone: "z1", Shard: "sh",
		})
	}
	return cfg
}

// testAttempt returns an attempt in the shard "sh" that is not idempotent.
func testAttempt(request string) cicadapitch.Attempt {
	return cicadapitch.Attempt{
		ID:        cicadapitch.AttemptID{Request: cicadapitch.RequestID(request), Stage: "s"},
		Customer:  "c",
		Pool:      "p",
		Shard:     "sh",
		Share:     1,
		Remaining: 60 * cicadapitch.Second,
	}
}

// ownsAll reports any shard as owned under fencing number 1.
func ownsAll(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) { return 1, true }

// newOwner returns an owner of the shard "sh" that uses the system clock and
// whose background loop runs.
func newOwner(t *testing.T, d *fakeDriver, cfg *cicadapitch.Configuration,
	fencingOf func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool), opts ...endpoint.Option,
) *endpoint.Owner {
	t.Helper()
	p := endpoint.StandardPolicy()
	p.TickInterval = 5
	p.ReportLag = 0
	opts = append([]endpoint.Option{endpoint.WithPolicy(p)}, opts...)
	drivers := map[cicadapitch.PoolKind]cicadapitch.Driver{cicadapitch.Engine: d}
	o := endpoint.NewOwner(fixedConfiguration{cfg}, drivers, fencingOf, cicadapitch.NewSystemClock(), opts...)
	o.AddShard(cicadapitch.Claim{Shard: "sh", Fencing: 1})
	o.Start(t.Context())
	return o
}

func TestRunStreamsTheCompleteAnswer(t *testing.T) {
	o := newOwner(t, newFakeDriver(), testConfiguration(1, 1, 4), ownsAll)
	var chunks []cicadapitch.Chunk
	res, err := o.Run(t.Context(), testAttempt("r1"), func(c cicadapitch.Chunk) { chunks = append(chunks, c) })
	require.NoError(t, err)
	require.Equal(t, "ab", res.Output)
	require.Len(t, chunks, 2)
	require.Equal(t, 1, chunks[1].Index)
}

func TestOutcomeOfUnknownAttemptRefusesLaterRuns(t *testing.T) {
	d := newFakeDriver()
	o := newOwner(t, d, testConfiguration(1, 1, 4), ownsAll)
	a := testAttempt("r1")
	require.Equal(t, cicadapitch.Refused, o.Outcome(a.ID).Phase)
	_, err := o.Run(t.Context(), a, func(cicadapitch.Chunk) {})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Zero(t, d.count(a.ID))
}

func TestRunWithoutTheShardIsRedirected(t *testing.T) {
	d := newFakeDriver()
	ownsNone := func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) { return 0, false }
	o := newOwner(t, d, testConfiguration(1, 1, 4), ownsNone)
	a := testAttempt("r1")
	_, err := o.Run(t.Context(), a, func(cicadapitch.Chunk) {})
	require.Equal(t, cicadapitch.Redirected, cicadapitch.KindOf(err))
	require.Zero(t, d.count(a.ID))
}

func TestConcurrentRunsOfOneAttemptCallOnce(t *testing.T) {
	d := newFakeDriver()
	o := newOwner(t, d, testConfiguration(2, 2, 4), ownsAll)
	a := testAttempt("r1")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			res, err := o.Run(t.Context(), a, func(cicadapitch.Chunk) {})
			if err != nil || res.Output != "ab" {
				t.Errorf("got %q, %v", res.Output, err)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, d.count(a.ID))
	require.Equal(t, cicadapitch.Done, o.Outcome(a.ID).Phase)
}
