package entry_test

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// attemptFunc replaces how the fake runs an attempt. Its bool result is true if the
// function has handled the attempt. Otherwise the fake runs the attempt as usual.
type attemptFunc func(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error)

// fakeRunner runs attempts itself and records the attempts that started, as the
// endpoints would.
type fakeRunner struct {
	override attemptFunc

	mu sync.Mutex
	// started counts how often each attempt started.
	started  map[cicadapitch.AttemptID]int
	attempts map[cicadapitch.AttemptID]cicadapitch.Attempt
	states   map[cicadapitch.AttemptID]cicadapitch.AttemptState
}

func newFakeRunner(override attemptFunc) *fakeRunner {
	return &fakeRunner{
		override: override,
		started:  make(map[cicadapitch.AttemptID]int),
		attempts: make(map[cicadapitch.AttemptID]cicadapitch.Attempt),
		states:   make(map[cicadapitch.AttemptID]cicadapitch.AttemptState),
	}
}

// Run implements cicadapitch.AttemptRunner.
func (r *fakeRunner) Run(ctx context.Context, _ cicadapitch.Member, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, error) {
	if r.override != nil {
		if res, handled, err := r.override(ctx, a, sink); handled {
			return res, err
		}
	}
	r.start(a)
	return resultOf(a), nil
}

// Outcome implements cicadapitch.AttemptRunner.
func (r *fakeRunner) Outcome(_ context.Context, _ cicadapitch.Member, id cicadapitch.AttemptID) (cicadapitch.AttemptState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st, ok := r.states[id]; ok {
		return st, nil
	}
	if r.started[id] == 0 {
		return cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Refused}, nil
	}
	res := resultOf(r.attempts[id])
	return cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Done, Result: &res}, nil
}

// start records that an endpoint has started an attempt.
func (r *fakeRunner) start(a cicadapitch.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[a.ID]++
	r.attempts[a.ID] = a
}

// starts counts the attempts of a stage that have started.
func (r *fakeRunner) starts(stage cicadapitch.StageID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, k := range r.started {
		if id.Stage == stage {
			n += k
		}
	}
	return n
}

// resultOf returns the usual result of an attempt: its stage applied to its input.
func resultOf(a cicadapitch.Attempt) cicadapitch.StageResult {
	return cicadapitch.StageResult{
		Attempt: a.ID,
		Output:  string(a.ID.Stage) + "(" + a.Input + ")",
		Served:  10,
	}
}

// setState sets the state that Outcome returns for an attempt.
func (r *fakeRunner) setState(id cicadapitch.AttemptID, st cicadapitch.AttemptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[id] = st
}
