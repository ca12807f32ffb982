package entry_test

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// behaviour replaces what the fake does with an attempt. It returns false to
// have it run as usual.
type behaviour func(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error)

// fakeRunner runs attempts itself and records what has started, as the
// endpoints would.
type fakeRunner struct {
	behave behaviour

	mu      sync.Mutex
	started map[cicadapitch.AttemptID]int
	inputs  map[cicadapitch.AttemptID]cicadapitch.Attempt
	states  map[cicadapitch.AttemptID]cicadapitch.AttemptState
}

func newFakeRunner(b behaviour) *fakeRunner {
	return &fakeRunner{
		behave:  b,
		started: make(map[cicadapitch.AttemptID]int),
		inputs:  make(map[cicadapitch.AttemptID]cicadapitch.Attempt),
		states:  make(map[cicadapitch.AttemptID]cicadapitch.AttemptState),
	}
}

// Run implements cicadapitch.Runner.
func (r *fakeRunner) Run(ctx context.Context, _ cicadapitch.Member, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, error) {
	if r.behave != nil {
		if res, done, err := r.behave(ctx, a, sink); done {
			return res, err
		}
	}
	r.start(a)
	return resultOf(a), nil
}

// Outcome implements cicadapitch.Runner.
func (r *fakeRunner) Outcome(_ context.Context, _ cicadapitch.Member, id cicadapitch.AttemptID) (cicadapitch.AttemptState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st, ok := r.states[id]; ok {
		return st, nil
	}
	if r.started[id] == 0 {
		return cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Refused}, nil
	}
	res := resultOf(r.inputs[id])
	return cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Done, Result: &res}, nil
}

// start records that an endpoint has started an attempt.
func (r *fakeRunner) start(a cicadapitch.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[a.ID]++
	r.inputs[a.ID] = a
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

func resultOf(a cicadapitch.Attempt) cicadapitch.StageResult {
	return cicadapitch.StageResult{
		Attempt: a.ID,
		Output:  string(a.ID.Stage) + "(" + a.Input + ")",
		Served:  10,
	}
}

// setState sets what the owner says about an attempt.
func (r *fakeRunner) setState(id cicadapitch.AttemptID, st cicadapitch.AttemptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[id] = st
}
