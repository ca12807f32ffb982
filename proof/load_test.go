package proof_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	customerKey = "sample-key-of-club"
	// writerTokens is MaxTokens of the stages called generate in the quickstart
	// questionnaire.
	writerTokens = 24
)

// loadWorkers is the number of concurrent requests of most tests.
const loadWorkers = 12

// newCaller returns a client of the sample customer for all hosts.
func newCaller(f *fleet, opts ...client.Option) *client.Client {
	return client.New(f.Seeds(), customerKey, opts...)
}

func answerRequest(input string) cicadapitch.Request {
	return cicadapitch.Request{Pipeline: "answer", Input: input}
}

func bookRequest(input string) cicadapitch.Request {
	return cicadapitch.Request{Pipeline: "book", Input: input}
}

// attempts returns the total number of attempts of all stages.
func attempts(a cicadapitch.Answer) int {
	return lo.SumBy(a.Stages, func(s cicadapitch.StageReport) int { return s.Attempts })
}

// expectedText returns the text that the stages up to generate produce for an
// input.
func expectedText(input string) string {
	for _, s := range []string{"encoder", "retriever", "reranker"} {
		input = standin.ServiceOutput(s, input)
	}
	return standin.Completion(input, writerTokens)
}

// expectedOutput returns the output of a whole pipeline for an input.
func expectedOutput(p cicadapitch.PipelineID, input string) string {
	if p == "book" {
		return standin.ServiceOutput("booking", expectedText(input))
	}
	return expectedText(input)
}

// requestResult is the result of one request. text is the streamed text.
type requestResult struct {
	request cicadapitch.Request
	answer  cicadapitch.Answer
	text    string
	err     error
	took    time.Duration
}

// loadGenerator sends requests until it is stopped and records their results.
type loadGenerator struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup
	sent    atomic.Int64
	mu      sync.Mutex
	results []requestResult
}

// startLoad starts workers that each send one request after another: two thirds
// through the pipeline answer, one third bookings. The workers are spread over the
// zones.
func startLoad(f *fleet, workers int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cancel: cancel}
	for n := range workers {
		caller := newCaller(f, client.WithZone(cicadapitch.ZoneID([]string{"a", "b", "c"}[n%3])))
		l.workers.Go(func() { l.sendRequests(ctx, caller) })
	}
	return l
}

// sendRequests sends requests until ctx ends.
func (l *loadGenerator) sendRequests(ctx context.Context, caller *client.Client) {
	for ctx.Err() == nil {
		n := l.sent.Add(1)
		req := answerRequest(fmt.Sprintf("question %d", n))
		if n%3 == 0 {
			req = bookRequest(fmt.Sprintf("booking %d", n))
		}
		l.add(sendRequest(caller, req))
	}
}

// sendRequest sends one request and waits for its result. It takes no context, so
// that the end of a load does not cancel the last requests.
func sendRequest(caller *client.Client, req cicadapitch.Request) requestResult {
	start := time.Now()
	r := requestResult{request: req}
	r.answer, r.err = caller.Do(context.Background(), req, func(c cicadapitch.Chunk) { r.text += c.Text })
	r.took = time.Since(start)
	return r
}

func (l *loadGenerator) add(r requestResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// stop ends the load after the requests in flight and returns all results.
func (l *loadGenerator) stop() []requestResult {
	l.cancel()
	l.workers.Wait()
	return l.results
}
