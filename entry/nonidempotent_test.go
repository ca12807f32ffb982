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

// fault is a fault of one attempt between the entry host and the endpoint.
type fault int

const (
	none fault = iota
	refused
	redirected
	lostBeforeStart
	lostAfterStart
	lostWithoutRecord
	stillRunning
	wrongAttemptResult
	declined
	neverReturns
	faultCount
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
		case lostBeforeStart:
			return zero, true, lost
		case lostAfterStart:
			r.start(a)
			return zero, true, lost
		case lostWithoutRecord:
			r.start(a)
			r.setState(a.ID, cicadapitch.AttemptState{})
			return zero, true, lost
		case stillRunning:
			r.start(a)
			r.setState(a.ID, cicadapitch.AttemptState{Attempt: a.ID, Phase: cicadapitch.Running})
			return zero, true, lost
		case wrongAttemptResult:
			r.start(a)
			res := resultOf(a)
			res.Attempt.Request = "another"
			res.Output = "another's"
			return res, true, nil
		case declined:
			r.start(a)
			return zero, true, cicadapitch.NewError(cicadapitch.Conflict, "the slot is taken", "")
		case neverReturns:
			r.start(a)
			<-ctx.Done()
			return zero, true, ctx.Err()
		}
		return zero, false, nil
	})
	return r
}

// twoSends holds the results of sending one request twice, and the number of
// attempts of its stages that had started after each send.
type twoSends struct {
	answer, secondAnswer              cicadapitch.Answer
	err, secondErr                    error
	encodeStarts                      int
	bookStarts, bookStartsAfterSecond int
}

// serveTwice serves a request under a sequence of faults and then sends it again
// with the same token.
func serveTwice(sequence []int, seed uint64) twoSends {
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
	s := f.newServer(entry.WithSeed(seed))
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Deadline: 3000, Token: f.minter.Mint("club")}
	var sends twoSends
	sends.answer, sends.err = s.Serve(context.Background(), req, nil)
	sends.encodeStarts, sends.bookStarts = runner.starts("encode"), runner.starts("book")
	sends.secondAnswer, sends.secondErr = s.Serve(context.Background(), req, nil)
	sends.bookStartsAfterSecond = runner.starts("book")
	return sends
}

// TestErrorsMatchWorkDoneAndBookingsRunOnce checks, over seeded sequences of faults,
// the errors that callers get against the work that the endpoints recorded.
func TestErrorsMatchWorkDoneAndBookingsRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sequence := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 14).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var sends twoSends
		synctest.Test(t, func(*testing.T) { sends = serveTwice(sequence, seed) })
		require.LessOrEqual(rt, sends.bookStartsAfterSecond, 1, "a booking ran twice")
		require.Equal(rt, sends.bookStarts, sends.bookStartsAfterSecond, "a used token ran again")
		require.Equal(rt, sends.err, sends.secondErr)
		require.Equal(rt, sends.answer, sends.secondAnswer)
		if sends.err == nil {
			require.Equal(rt, "book(encode(x))", sends.answer.Output)
			require.Equal(rt, 1, sends.bookStarts)
			return
		}
		switch kind := cicadapitch.KindOf(sends.err); kind {
		case cicadapitch.NotRun:
			require.Zero(rt, sends.bookStarts+sends.encodeStarts, "NotRun, but a stage ran: %v", sends.err)
		case cicadapitch.DeadlineExceeded:
			require.Zero(rt, sends.bookStarts, "DeadlineExceeded, but the booking ran: %v", sends.err)
		case cicadapitch.OutcomeUnknown, cicadapitch.Conflict:
		default:
			require.Fail(rt, "unexpected kind", "%v", sends.err)
		}
	})
}

// connectedHosts is two entry hosts that forward to each other.
type connectedHosts struct {
	hosts map[cicadapitch.HostID]*entry.Server
	// disconnected makes all calls between the hosts fail before they are sent.
	disconnected bool
}

func notSentError() error { return cicadapitch.NewNotRun("the host could not be dialled", 1) }

func (p *connectedHosts) Forward(ctx context.Context, to cicadapitch.Member, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	if p.disconnected {
		return cicadapitch.Answer{}, notSentError()
	}
	return p.hosts[to.Host].Serve(ctx, req, sink)
}

func (p *connectedHosts) Outcome(ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error) {
	if p.disconnected {
		return idempotency.Outcome{}, notSentError()
	}
	return p.hosts[to.Host].Outcome(ctx, customer, token)
}

func newConnectedHosts() (*connectedHosts, *fixture, *fixture) {
	a, b := newFixture(), newFixture()
	b.self.Host, b.self.Incarnation = "h2", 8
	b.minter = idempotency.NewMinter("h2", 8, "http://h2", deploymentKey, idempotency.WithMinterClock(b.clock))
	b.runner = a.runner
	a.others, b.others = []cicadapitch.Member{b.self}, []cicadapitch.Member{a.self}
	p := &connectedHosts{hosts: make(map[cicadapitch.HostID]*entry.Server)}
	p.hosts["h1"] = a.newServer(entry.WithForwarder(p))
	p.hosts["h2"] = b.newServer(entry.WithForwarder(p))
	return p, a, b
}

func TestRetriesAtTwoHostsShareOneRun(t *testing.T) {
	p, a, _ := newConnectedHosts()
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

// While the hosts are disconnected, h2 cannot tell whether h1 has run the request, so
// it must not answer NotRun.
func TestFailedForwardIsNotRunOnlyIfNothingRan(t *testing.T) {
	p, a, _ := newConnectedHosts()
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: a.minter.Mint("club")}
	_, err := p.hosts["h1"].Serve(context.Background(), req, nil)
	require.NoError(t, err)
	p.disconnected = true
	_, err = p.hosts["h2"].Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err), "the request has run: %v", err)
	p.disconnected = false
	req.Token = a.minter.Mint("club")
	require.NoError(t, p.hosts["h1"].Drain(context.Background()))
	_, err = p.hosts["h2"].Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Equal(t, 1, a.runner.(*fakeRunner).starts("book"))
}

func TestTokenOfEndedIncarnationIsUnknownWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b := newConnectedHosts()
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

// replacedOwner is a fixture whose shards are owned by an incarnation that another
// one has replaced.
type replacedOwner struct{ *fixture }

func (o replacedOwner) Owner(cicadapitch.ShardID) (cicadapitch.Member, bool) {
	m := o.self
	m.Host, m.Incarnation = "h2", 1
	return m, true
}

func TestMissingRecordAtReplacedOwnerIsOutcomeUnknown(t *testing.T) {
	f := newFixture()
	f.others = []cicadapitch.Member{{Host: "h2", Incarnation: 2}}
	booked := 0
	f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.ID.Stage != "book" {
			return cicadapitch.StageResult{}, false, nil
		}
		// The attempt starts, but the incarnation that replaces the owner has
		// no record of it.
		booked++
		return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the owner died")
	})
	s := entry.NewServer(f, f, replacedOwner{f}, f.runner, f.clock, entry.WithMinter(f.minter))
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: f.minter.Mint("club")}
	_, err := s.Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, 1, booked)
}

func TestRunContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		proceed := make(chan struct{})
		f.runner = newFakeRunner(func(context.Context, cicadapitch.Attempt, func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
			<-proceed
			return cicadapitch.StageResult{}, false, nil
		})
		s := f.newServer()
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

func TestTokenNeverRunsAfterOutcomeIsRefused(t *testing.T) {
	f := newFixture()
	s := f.newServer()
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

type failingClaimer struct{ err error }

func (c failingClaimer) Claim(context.Context, cicadapitch.CustomerID, string) (idempotency.Claim, error) {
	return idempotency.Claim{}, c.err
}

func TestFailedClaimIsNotRunUnlessRepeated(t *testing.T) {
	f := newFixture()
	s := f.newServer(entry.WithKeyClaimer(failingClaimer{cicadapitch.NewNotRun("the store is down", 500)}))
	req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", IdempotencyKey: "k"}
	_, err := s.Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Millis(500), cicadapitch.AsError(err).RetryAfter)
	req.Repeated = true
	_, err = s.Serve(context.Background(), req, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.False(t, errors.Is(err, context.Canceled))
}
