package load

import (
	"context"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
)

// Sender sends one request and returns its complete answer. It passes streamed
// chunks to sink.
type Sender interface {
	Do(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error)
}

// Generator sends the requests of a plan. It can run once.
type Generator struct {
	plan        Plan
	maxInFlight int
	newSender   func(Caller) Sender
	senders     []Sender
	recorder    *recorder
}

// NewGenerator returns a generator for a plan. The options must include
// WithSeeds or WithSender.
func NewGenerator(p Plan, opts ...Option) *Generator {
	g := &Generator{plan: p, maxInFlight: DefaultMaxInFlight, recorder: newRecorder(p)}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Run sends all requests and returns their results. If ctx ends, Run stops
// sending and waits for the requests that were already sent.
func (g *Generator) Run(ctx context.Context) (*Summary, error) {
	arrivals, err := Arrivals(g.plan)
	if err != nil {
		return nil, err
	}
	if g.newSender == nil {
		return nil, invalid("no host is given")
	}
	for _, c := range g.plan.Callers {
		g.senders = append(g.senders, g.newSender(c))
	}
	start := time.Now()
	g.sendAll(ctx, start, arrivals)
	return g.recorder.summary(time.Since(start)), nil
}

// sendAll sends the arrivals at their planned times and waits for their results.
// It skips an arrival if too many requests are in flight.
func (g *Generator) sendAll(ctx context.Context, start time.Time, arrivals []Arrival) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, g.maxInFlight)
	for _, a := range arrivals {
		if !waitUntil(ctx, start.Add(a.After)) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			g.recorder.skip(a)
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			g.send(context.WithoutCancel(ctx), start.Add(a.After), a)
		})
	}
}

// waitUntil waits until the given time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and records its result. Times count from the planned
// arrival, so that a late send adds to the latency.
func (g *Generator) send(ctx context.Context, planned time.Time, a Arrival) {
	o := outcome{arrival: a}
	req := cicadapitch.Request{Pipeline: g.plan.Pipelines[a.Pipeline].ID, Input: a.Input, Prefix: a.Prefix}
	last := planned
	answer, err := g.senders[a.Caller].Do(ctx, req, func(cicadapitch.Chunk) {
		now := time.Now()
		o.recordChunk(now.Sub(last))
		last = now
	})
	o.latency = time.Since(planned)
	o.answer, o.err = answer, err
	g.recorder.add(o)
}

// outcome is the result of one request.
type outcome struct {
	arrival Arrival
	answer  cicadapitch.Answer
	err     error
	latency time.Duration
	// streamed is true once a chunk has arrived.
	streamed bool
	// firstToken is the time from the planned arrival to the first chunk.
	firstToken time.Duration
	// chunkGaps are the times between chunks.
	chunkGaps []time.Duration
}

// recordChunk records a chunk that came the given time after the planned arrival
// or after the previous chunk.
func (o *outcome) recordChunk(after time.Duration) {
	if !o.streamed {
		o.streamed, o.firstToken = true, after
		return
	}
	o.chunkGaps = append(o.chunkGaps, after)
}
