package bed

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ColdReplica is a replica that crashes if it gets more than a bound in one second while it is cold.
type ColdReplica struct {
	*Replica

	bound   float64
	since   time.Time
	running atomic.Int32

	mu      sync.Mutex
	arrived []time.Time
	crashed bool
}

// StartCold makes a replica cold for a time from now.
func (b *Bed) StartCold(r *Replica, d time.Duration, bound float64) *ColdReplica {
	c := &ColdReplica{Replica: r, bound: bound, since: time.Now()}
	r.TurnCold(d)
	r.Observe(c.arrive, &c.running)
	b.Log("replica %s: cold for %d ms", r.ID, d.Milliseconds())
	return c
}

// arrive records an arrival, and ends the replica if it bears no more.
func (c *ColdReplica) arrive(id string, at time.Time) {
	if !c.Cold(at) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, at)
	n := c.inSecond(at)
	c.bed.Log("arrival %s at the cold replica %d ms after it turned cold, %d in the last second", id, at.Sub(c.since).Milliseconds(), n)
	if float64(n) > c.bound && !c.crashed {
		c.crashed = true
		c.bed.Log("the cold replica crashes; %d streams ran there", c.running.Load())
		go c.Stop()
	}
}

// inSecond returns how many requests came in the second that ends at an instant. The caller holds mu.
func (c *ColdReplica) inSecond(end time.Time) int {
	n := 0
	for _, at := range c.arrived {
		if since := end.Sub(at); since >= 0 && since < time.Second {
			n++
		}
	}
	return n
}

// Most returns the most requests in one second.
func (c *ColdReplica) Most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, at := range c.arrived {
		most = max(most, c.inSecond(at))
	}
	return most
}

// Observe calls arrived with each request that reaches the replica from now on, and keeps the number of those that run.
func (r *Replica) Observe(arrived func(id string, at time.Time), running *atomic.Int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.Handle
	r.OnArrival = arrived
	r.Handle = func(w http.ResponseWriter, req *http.Request, version string) {
		running.Add(1)
		defer running.Add(-1)
		answer(w, req, version)
	}
}
