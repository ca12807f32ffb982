package load

import (
	"context"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
)

// Sender sends one request and returns its whole answer.
type Sender interface {
	Do(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error)
}

// Generator sends the requests of a plan.
type Generator struct {
	plan        Plan
	maxInFlight int
	senderOf    func(Caller) Sender
	senders     []Sender
	recorder    *recorder
}

// NewGenerator returns a generator that needs WithSeeds or WithSender.
func NewGenerator(p Plan, opts ...Option) *Generator {
	g := &Generator{plan: p, maxInFlight: DefaultMaxInFlight, recorder: newRecorder(p)}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Run sends all requests and returns how they ended. Where ctx ends earlier, no
// more are sent; those that were sent are waited for.
func (g *Generator) Run(ctx context.Context) (*Summary, error) {
	arrivals, err := Arrivals(g.plan)
	if err != nil {
		return nil, err
	}
	if g.senderOf == nil {
		return nil, invalid("no host is given")
	}
	for _, c := range g.plan.Callers {
		g.senders = append(g.senders, g.senderOf(c))
	}
	start := time.Now()
	g.sendAll(ctx, start, arrivals)
	return g.recorder.summary(time.Since(start)), nil
}

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

// waitUntil waits for an instant. It returns false where ctx ends before.
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

func (g *Generator) send(ctx context.Context, planned time.Time, a Arrival) {
	o := outcome{arrival: a}
	req := cicadapitch.Request{Pipeline: g.plan.Pipelines[a.Pipeline].ID, Input: a.Input, Prefix: a.Prefix}
	last := planned
	answer, err := g.senders[a.Caller].Do(ctx, req, func(cicadapitch.Chunk) {
		now := time.Now()
		o.token(now.Sub(last))
		last = now
	})
	o.took = time.Since(planned)
	o.answer, o.err = answer, err
	g.recorder.add(o)
}

// outcome is how one request ended.
type outcome struct {
	arrival Arrival
	answer  cicadapitch.Answer
	err     error
	took    time.Duration
	// first is the span until the first token, gaps those between tokens.
	streamed bool
	first    time.Duration
	gaps     []time.Duration
}

func (o *outcome) token(after time.Duration) {
	if !o.streamed {
		o.streamed, o.first = true, after
		return
	}
	o.gaps = append(o.gaps, after)
}
