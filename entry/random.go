package entry

import (
	"math/rand/v2"
	"sync"
)

// random generates the random numbers for choices and backoff. Without a seed it
// uses the generator of the runtime, which needs no lock.
type random struct {
	mu     sync.Mutex
	source *rand.PCG
}

func (r *random) next() uint64 {
	if r.source == nil {
		return rand.Uint64()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}

// fraction returns a number in [0, 1).
func (r *random) fraction() float64 { return float64(r.next()>>11) / (1 << 53) }
