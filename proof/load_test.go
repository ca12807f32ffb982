package proof_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	customerKey  = "sample-key-of-club"
	writerTokens = 24
)

func newCaller(f *fleet, opts ...client.Option) *client.Client {
	return client.New(f.Seeds(), customerKey, opts...)
}

func answerRequest(input string) cicadapitch.Request {
	return cicadapitch.Request{Pipeline: "answer", Input: input}
}

func bookRequest(input string) cicadapitch.Request {
	return cicadapitch.Request{Pipeline: "book", Input: input}
}

func attempts(a cicadapitch.Answer) int {
	return lo.SumBy(a.Stages, func(s cicadapitch.StageReport) int { return s.Attempts })
}

// written is what the stages before booking make of an input.
func written(input string) string {
	for _, s := range []string{"encoder", "retriever", "reranker"} {
		input = standin.ServiceOutput(s, input)
	}
	return standin.Completion(input, writerTokens)
}

// expected is the whole output of a pipeline for an input.
func expected(p cicadapitch.PipelineID, input string) string {
	if p == "book" {
		return standin.ServiceOutput("booking", written(input))
	}
	return written(input)
}

// served is how one request of a load ended.
type served struct {
	request cicadapitch.Request
	answer  cicadapitch.Answer
	text    string
	err     error
	took    time.Duration
}

// load sends requests until it is stopped.
type load struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup
	number  atomic.Int64
	mu      sync.Mutex
	served  []served
}

// startLoad sends requests of both pipelines, each worker one after another.
func startLoad(f *fleet, workers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for n := range workers {
		caller := newCaller(f, client.WithZone(cicadapitch.ZoneID([]string{"a", "b", "c"}[n%3])))
		l.workers.Go(func() { l.work(ctx, caller) })
	}
	return l
}

func (l *load) work(ctx context.Context, caller *client.Client) {
	for ctx.Err() == nil {
		n := l.number.Add(1)
		req := answerRequest(fmt.Sprintf("question %d", n))
		if n%3 == 0 {
			req = bookRequest(fmt.Sprintf("booking %d", n))
		}
		l.add(send(caller, req))
	}
}

// send sends one request, whose end does not depend on the load's.
func send(caller *client.Client, req cicadapitch.Request) served {
	start := time.Now()
	s := served{request: req}
	s.answer, s.err = caller.Do(context.Background(), req, func(c cicadapitch.Chunk) { s.text += c.Text })
	s.took = time.Since(start)
	return s
}

func (l *load) add(s served) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served = append(l.served, s)
}

// stop ends the load and returns how each request ended.
func (l *load) stop() []served {
	l.cancel()
	l.workers.Wait()
	return l.served
}

// requireWhole checks that every answer is the whole one to its own request.
func requireWhole(t *testing.T, all []served) {
	t.Helper()
	for _, s := range all {
		if s.err != nil {
			continue
		}
		require.Equal(t, expected(s.request.Pipeline, s.request.Input), s.answer.Output, "%s, streamed %q, answer %+v", s.request.Input, s.text, s.answer)
		require.Equal(t, written(s.request.Input), s.text, "streamed text of %s, answer %+v", s.request.Input, s.answer)
	}
}

// requireAtMostOnce checks, at the booking stand-ins, that no booking was made
// twice, that each one that was answered was made, and that none was made that
// was refused as not run.
func requireAtMostOnce(t *testing.T, f *fleet, all []served) {
	t.Helper()
	made := lo.CountValuesBy(f.Bookings("booking"), func(b standin.Booking) string { return b.Input })
	for _, s := range all {
		if s.request.Pipeline != "book" {
			continue
		}
		n := made[written(s.request.Input)]
		require.LessOrEqual(t, n, 1, s.request.Input)
		if s.err == nil {
			require.Equal(t, 1, n, s.request.Input)
		}
		if cicadapitch.KindOf(s.err) == cicadapitch.NotRun {
			require.Zero(t, n, "%s was refused as not run: %v", s.request.Input, s.err)
		}
	}
}

func failures(all []served) []served {
	return lo.Filter(all, func(s served, _ int) bool { return s.err != nil })
}

// requireAllAnswered checks that no request failed.
func requireAllAnswered(t *testing.T, all []served) {
	t.Helper()
	require.NotEmpty(t, all)
	for _, s := range failures(all) {
		t.Errorf("%s %s after %v: %v", s.request.Pipeline, s.request.Input, s.took, s.err)
	}
}
