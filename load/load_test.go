package load_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newPlan(rate float64) load.Plan {
	return load.Plan{
		Rate: rate, Length: 60 * cicadapitch.Second, MaxRequests: 1_000_000, Seed: 7, Prefixes: 3,
		Callers:   []load.Caller{{Key: "a", Weight: 3}, {Key: "b", Weight: 1}},
		Pipelines: []load.Pipeline{{ID: "p", Weight: 1, Deadline: 9 * cicadapitch.Second}},
	}
}

func mustArrivals(t *testing.T, p load.Plan) []load.Arrival {
	t.Helper()
	list, err := load.Arrivals(p)
	require.NoError(t, err)
	return list
}

// TestArrivalsAreReproducibleAndFollowRate guards against load runs that cannot be
// repeated with the same seed, or whose arrivals miss the rate, the length or the
// callers' weights of the plan.
func TestArrivalsAreReproducibleAndFollowRate(t *testing.T) {
	list := mustArrivals(t, newPlan(100))
	require.Equal(t, list, mustArrivals(t, newPlan(100)))
	require.InDelta(t, 6000, len(list), 300)
	firstCaller := 0
	for i, a := range list {
		require.Less(t, a.After, time.Minute)
		require.Equal(t, i, a.Number)
		if a.Caller == 0 {
			firstCaller++
		}
	}
	require.InDelta(t, 0.75, float64(firstCaller)/float64(len(list)), 0.03)
}

// TestPlanLimitsArrivals guards against a load without a limit on its requests.
func TestPlanLimitsArrivals(t *testing.T) {
	p := newPlan(100)
	p.MaxRequests = 50
	require.Len(t, mustArrivals(t, p), 50)
	p.MaxRequests = 0
	_, err := load.Arrivals(p)
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
}

func TestBurstsRaiseRate(t *testing.T) {
	p := newPlan(100)
	p.Burst = load.Burst{Period: 10 * cicadapitch.Second, Length: 2 * cicadapitch.Second, Factor: 3}
	inBurst := 0
	for _, a := range mustArrivals(t, p) {
		if a.After%(10*time.Second) >= 8*time.Second {
			inBurst++
		}
	}
	require.InDelta(t, 6*2*300, inBurst, 360)
}

// fakeSender streams two chunks and then returns the result of answer.
type fakeSender struct {
	answer func(input string) (string, error)
}

func (f fakeSender) Do(_ context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	sink(cicadapitch.Chunk{Text: "a"})
	sink(cicadapitch.Chunk{Text: "b"})
	out, err := f.answer(req.Input)
	return cicadapitch.Answer{Output: out}, err
}

func runPlan(t *testing.T, p load.Plan, answer func(string) (string, error), opts ...load.Option) *load.Summary {
	t.Helper()
	g := load.NewGenerator(p, append(opts, load.WithSender(fakeSender{answer}))...)
	s, err := g.Run(context.Background())
	require.NoError(t, err)
	return s
}

// newEchoPlan returns a plan of 10 requests that expect their input as output.
func newEchoPlan() load.Plan {
	p := newPlan(10_000)
	p.MaxRequests, p.Prefixes = 10, 0
	p.Pipelines[0].Expected = func(input string) string { return input }
	return p
}

func TestWrongAnswersAndRefusalsAreCounted(t *testing.T) {
	s := runPlan(t, newEchoPlan(), func(input string) (string, error) {
		switch input {
		case "request 1 of seed 7":
			return "another", nil
		case "request 2 of seed 7":
			return "", cicadapitch.NewNotRun("full", 1)
		case "request 3 of seed 7":
			return "", errors.New("broken")
		}
		return input, nil
	})
	require.EqualValues(t, 10, s.All.Sent)
	require.EqualValues(t, 8, s.All.Answered)
	require.EqualValues(t, 1, s.All.Wrong)
	require.InDelta(t, 0.7, s.All.Attainment, 1e-9)
	require.Equal(t, []load.Refusal{{Kind: cicadapitch.Internal, Count: 1}, {Kind: cicadapitch.NotRun, Count: 1}}, s.All.Refusals)
	require.EqualValues(t, 8, s.All.FirstToken.Count)
	require.EqualValues(t, 8, s.All.BetweenTokens.Count)
	var w bytes.Buffer
	s.Print(&w)
	require.Contains(t, w.String(), "NotRun:1")
}

func TestArrivalsAboveMaxInFlightAreSkipped(t *testing.T) {
	s := runPlan(t, newEchoPlan(), func(input string) (string, error) { return input, nil }, load.WithMaxInFlight(0))
	require.EqualValues(t, 10, s.All.Skipped)
	require.Zero(t, s.All.Sent)
	require.Zero(t, s.All.Attainment)
}
