package entry_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fault is what happens to one attempt between the entry host and the endpoint.
type fault int

const (
	none fault = iota
	refused
	redirected
	lostBefore
	lostAfter
	lostWithoutTrace
	stillRunning
	crossedResult
	declined
	lostForever
	faults
)

// faultyRunner draws a fault for each attempt.
func faultyRunner(draw func() fault) *fakeRunner {
	var r *fakeRunner
	lost := cicadapitch.NewOutcomeUnknown("the connection went silent")
	r = newFakeRunner(func(ctx context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		var zero cicadapitch.StageResult
		switch draw() {
		case refused:
			return zero, true, cicadapitch.NewNotRun("no slot", 5)
		case redirected:
			return zero, true, cicadapitch.NewError(cicadapitch.Redirected, "moved", "")
		case lostBefore:
			return zero, true, lost
		case lostAfter:
			r.start(a)
			return zero, true, lost
		case lostWithoutTrace:
			r.start(a)
			r.setState(a.ID, cicadapitch.AttemptState{})
			return zero, true, lost
		case stillRunning:
			r.start(a)
			r.setState(a.ID, cicadapitch.AttemptState{Attempt: a.ID, Phase: cicadapitch.Running})
			return zero, true, lost
		case crossedResult:
			r.start(a)
			res := resultOf(a)
			res.Attempt.Request = "another"
			res.Output = "another's"
			return res, true, nil
		case declined:
			r.start(a)
			return zero, true, cicadapitch.NewError(cicadapitch.Conflict, "the slot is taken", "")
		case lostForever:
			r.start(a)
			<-ctx.Done()
			return zero, true, ctx.Err()
		}
		return zero, false, nil
	})
	return r
}

// ending is how one request ended and what the endpoints recorded.
type ending struct {
	answer, answerAgain cicadapitch.Answer
	err, errAgain       error
	encoded             int
	booked, bookedAgain int
}

// serveTwice serves a request under a sequence of faults, and once more under
// the same token.
func serveTwice(sequence []int, seed uint64) ending {
	var mu sync.Mutex
	runner := faultyRunner(func() fault {
		mu.Lock()
		defer mu.Unlock()
		if len(sequence) == 0 {
			return none
		}
		next := sequence[0]
		sequence = sequence[1:]
		return fault(next)
	})
	f := newFixture()
	f.runner = runner
	s := f.server(entry.WithSeed(seed))
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Deadline: 3000, Token: f.minter.Mint("club")}
	var e ending
	e.answer, e.err = s.Serve(context.Background(), req, nil)
	e.encoded, e.booked = runner.starts("encode"), runner.starts("book")
	e.answerAgain, e.errAgain = s.Serve(context.Background(), req, nil)
	e.bookedAgain = runner.starts("book")
	return e
}

// TestRefusalsAreTrueAndBookingsRunOnce checks, over seeded sequences of faults,
// what callers are told against the endpoints' own record.
func TestRefusalsAreTrueAndBookingsRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sequence := rapid.SliceOfN(rapid.IntRange(0, int(faults)-1), 0, 14).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var e ending
		synctest.Test(t, func(*testing.T) { e = serveTwice(sequence, seed) })
		require.LessOrEqual(rt, e.bookedAgain, 1, "a booking ran twice")
		require.Equal(rt, e.booked, e.bookedAgain, "a spent token ran again")
		require.Equal(rt, e.err, e.errAgain)
		require.Equal(rt, e.answer, e.answerAgain)
		if e.err == nil {
			require.Equal(rt, "book(encode(x))", e.answer.Output)
			require.Equal(rt, 1, e.booked)
			return
		}
		switch kind := cicadapitch.KindOf(e.err); kind {
		case cicadapitch.NotRun:
			require.Zero(rt, e.booked+e.encoded, "a false NotRun: %v", e.err)
		case cicadapitch.DeadlineExceeded:
			require.Zero(rt, e.booked, "may be repeated, but has booked: %v", e.err)
		case cicadapitch.OutcomeUnknown, cicadapitch.Conflict:
		default:
			require.Fail(rt, "unexpected kind", "%v", e.err)
		}
	})
}

// peers is two entry hosts that forward to each other.
type peers struct {
	hosts map[cicadapitch.HostID]*entry.Server
	// cut has nothing reach the other host.
	cut bool
}

func notSent() error { return cicadapitch.NewNotRun("the host could not be dialled", 1) }

func (p *peers) Forward(ctx context.Context, to cicadapitch.Member, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	if p.cut {
		return cicadapitch.Answer{}, notSent()
	}
	return p.hosts[to.Host].Serve(ctx, req, sink)
}

func (p *peers) Outcome(ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error) {
	if p.cut {
		return idempotency.Outcome{}, notSent()
	}
	return p.hosts[to.Host].Outcome(ctx, customer, token)
}

func newPeers() (*peers, *fixture, *fixture) {
	a, b := newFixture(), newFixture()
	b.self.Host, b.self.Incarnation = "h2", 8
	b.minter = idempotency.NewMinter("h2", 8, "http://h2", deploymentKey, idempotency.WithMinterClock(b.clock))
	b.runner = a.runner
	a.others, b.others = []cicadapitch.Member{b.self}, []cicadapitch.Member{a.self}
	p := &peers{hosts: make(map[cicadapitch.HostID]*entry.Server)}
	p.hosts["h1"] = a.server(entry.WithForwarder(p))
	p.hosts["h2"] = b.server(entry.WithForwarder(p))
	return p, a, b
}

func TestRetriesAtTwoHostsShareOneRun(t *testing.T) {
	p, a, _ := newPeers()
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: a.minter.Mint("club")}
	var wg sync.WaitGroup
	for i := range 20 {
		host := cicadapitch.HostID([]string{"h1", "h2"}[i%2])
		wg.Go(func() {
			got, err := p.hosts[host].Serve(context.Background(), req, nil)
			assert.NoError(t, err)
			assert.Equal(t, "book(encode(x))", got.Output)
		})
	}
	wg.Wait()
	require.Equal(t, 1, a.runner.(*fakeRunner).starts("book"))
	o, err := p.hosts["h2"].Outcome(context.Background(), "club", req.Token)
	require.NoError(t, err)
	require.Equal(t, "book(encode(x))", o.Answer.Output)
}

func TestForwardedRefusalIsTrue(t *testing.T) {
	p, a, _ := newPeers()
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: a.minter.Mint("club")}
	_, err := p.hosts["h1"].Serve(context.Background(), req, nil)
	require.NoError(t, err)
	p.cut = true
	_, err = p.hosts["h2"].Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err), "it has run: %v", err)
	p.cut = false
	req.Token = a.minter.Mint("club")
	require.NoError(t, p.hosts["h1"].Drain(context.Background()))
	_, err = p.hosts["h2"].Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Equal(t, 1, a.runner.(*fakeRunner).starts("book"))
}

func TestTokenOfAGoneIncarnationIsUnknownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b := newPeers()
		for _, minter := range []*idempotency.Minter{
			idempotency.NewMinter("h1", 6, "http://h1", deploymentKey),
			idempotency.NewMinter("h3", 9, "http://h3", deploymentKey),
		} {
			for _, host := range []cicadapitch.HostID{"h1", "h2"} {
				start := a.clock.Now()
				req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: minter.Mint("club")}
				_, err := p.hosts[host].Serve(context.Background(), req, nil)
				require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
				_, err = p.hosts[host].Outcome(context.Background(), "club", req.Token)
				require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
				require.Equal(t, start, a.clock.Now())
			}
		}
		require.Zero(t, b.runner.(*fakeRunner).starts("book"))
	})
}

// replacedOwner owns each shard under an incarnation that has been replaced.
type replacedOwner struct{ *fixture }

func (o replacedOwner) Owner(cicadapitch.ShardID) (cicadapitch.Member, bool) {
	m := o.self
	m.Host, m.Incarnation = "h2", 1
	return m, true
}

func TestReplacedOwnerCannotSayThatNothingRan(t *testing.T) {
	f := newFixture()
	f.others = []cicadapitch.Member{{Host: "h2", Incarnation: 2}}
	booked := 0
	f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.ID.Stage != "book" {
			return cicadapitch.StageResult{}, false, nil
		}
		// It starts, but the process that answers next knows nothing of it.
		booked++
		return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the owner died")
	})
	s := entry.NewServer(f, f, replacedOwner{f}, f.runner, f.clock, entry.WithMinter(f.minter))
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: f.minter.Mint("club")}
	_, err := s.Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, 1, booked)
}

func TestRunGoesOnWhenItsCallerGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		proceed := make(chan struct{})
		f.runner = newFakeRunner(func(context.Context, cicadapitch.Attempt, func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
			<-proceed
			return cicadapitch.StageResult{}, false, nil
		})
		s := f.server()
		req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: f.minter.Mint("club")}
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		_, err := s.Serve(ctx, req, nil)
		require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
		close(proceed)
		got, err := s.Serve(context.Background(), req, nil)
		require.NoError(t, err)
		require.Equal(t, "book(encode(x))", got.Output)
		require.Equal(t, 1, f.runner.(*fakeRunner).starts("book"))
	})
}

func TestAskedTokenNeverRunsAfterwards(t *testing.T) {
	f := newFixture()
	s := f.server()
	token := f.minter.Mint("club")
	o, err := s.Outcome(context.Background(), "club", token)
	require.NoError(t, err)
	require.Equal(t, cicadapitch.Refused, o.Phase)
	_, err = s.Serve(context.Background(), cicadapitch.Request{Customer: "club", Pipeline: "reserve", Token: token}, nil)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	_, err = s.Outcome(context.Background(), "other", token)
	require.Equal(t, cicadapitch.Denied, cicadapitch.KindOf(err))
	require.Zero(t, f.runner.(*fakeRunner).starts("book"))
}

type failingClaims struct{ err error }

func (c failingClaims) Claim(context.Context, cicadapitch.CustomerID, string) (idempotency.Claim, error) {
	return idempotency.Claim{}, c.err
}

func TestKeyWithoutStoreIsRefusedTruly(t *testing.T) {
	f := newFixture()
	s := f.server(entry.WithClaims(failingClaims{cicadapitch.NewNotRun("the store is down", 500)}))
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", IdempotencyKey: "k"}
	_, err := s.Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Millis(500), cicadapitch.AsError(err).RetryAfter)
	req.Repeated = true
	_, err = s.Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.False(t, errors.Is(err, context.Canceled))
}
