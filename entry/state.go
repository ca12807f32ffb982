package entry

import (
	"math/rand/v2"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// budget holds the retry budget of the host.
type budget struct {
	mu    sync.Mutex
	state pipeline.Budget
}

func newBudget(ratio, limit float64) *budget {
	return &budget{state: pipeline.NewBudget(ratio, limit)}
}

func (b *budget) set(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = pipeline.NewBudget(ratio, limit)
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = b.state.Earn()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.state, ok = b.state.Spend()
	return ok
}

// random gives the random numbers of choices and backoff.
type random struct {
	mu     sync.Mutex
	source *rand.PCG
}

func (r *random) next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}

type estimateKey struct {
	pool  cicadapitch.PoolID
	stage cicadapitch.StageID
}

// estimates holds the measured service times of the stages.
type estimates struct {
	mu    sync.RWMutex
	state map[estimateKey]pipeline.Estimate
}

func newEstimates() *estimates {
	return &estimates{state: make(map[estimateKey]pipeline.Estimate)}
}

func (e *estimates) of(st cicadapitch.Stage) pipeline.Estimate {
	e.mu.RLock()
	defer e.mu.RUnlock()
	est, ok := e.state[estimateKey{st.Pool, st.ID}]
	if !ok {
		return pipeline.NewEstimate(st.ExpectedMillis)
	}
	return est
}

func (e *estimates) add(st cicadapitch.Stage, m cicadapitch.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := estimateKey{st.Pool, st.ID}
	est, ok := e.state[k]
	if !ok {
		est = pipeline.NewEstimate(st.ExpectedMillis)
	}
	e.state[k] = est.Add(m)
}
