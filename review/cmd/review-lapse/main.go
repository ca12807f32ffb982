// Command review-lapse lets a replica come back cold in a burst while the store comes back from an outage in which leases
// ran out, and counts what the cold replica gets in one second.
package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadapitch.example/cicadapitch/review/bed"
)

const (
	coldPerS   = 14
	coldTime   = 3 * time.Second
	perSecond  = 66
	burst      = 2.2
	burstTime  = 4 * time.Second
	eventCount = 10
	eventTime  = 150 * time.Millisecond
	// warmUp is how long traffic has run when the store goes down.
	warmUp = 6250 * time.Millisecond
	// outage is how long the store is down. It comes back downTime after a replica went down, and burstLead after the
	// burst has begun.
	outage    = 5 * time.Second
	downTime  = 3 * time.Second
	burstLead = 500 * time.Millisecond
	// bound is cold_per_s x cold_excess + cold_slack.
	bound = coldPerS*1.5 + 5
)

// coldReplica is a replica that crashes if it gets more than the bound in one second while it is cold.
type coldReplica struct {
	*bed.Replica

	bed       *bed.Bed
	startedAt time.Time
	running   atomic.Int32

	mu      sync.Mutex
	arrived []time.Time
	crashed bool
}

// start makes the replica cold from now on.
func (c *coldReplica) start() {
	c.startedAt = time.Now()
	c.TurnCold(coldTime)
	answer := c.Handle
	c.Handle = func(w http.ResponseWriter, req *http.Request, version string) {
		c.running.Add(1)
		defer c.running.Add(-1)
		answer(w, req, version)
	}
	c.OnArrival = c.arrive
}

// arrive records an arrival, and ends the replica if it bears no more.
func (c *coldReplica) arrive(id string, at time.Time) {
	if !c.Cold(at) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, at)
	n := c.inSecond(at)
	c.bed.Log("arrival %s at the cold replica %d ms after its start, %d in the last second", id, at.Sub(c.startedAt).Milliseconds(), n)
	if float64(n) > bound && !c.crashed {
		c.crashed = true
		c.bed.Log("the cold replica crashes; %d streams ran there", c.running.Load())
		go c.Stop()
	}
}

// inSecond returns how many requests came in the second that ends at an instant. The caller holds mu.
func (c *coldReplica) inSecond(end time.Time) int {
	n := 0
	for _, at := range c.arrived {
		if since := end.Sub(at); since >= 0 && since < time.Second {
			n++
		}
	}
	return n
}

// most returns the most requests in one second.
func (c *coldReplica) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, at := range c.arrived {
		most = max(most, c.inSecond(at))
	}
	return most
}

// outcomes counts answers by their outcome.
type outcomes struct {
	mu sync.Mutex
	n  map[string]int
}

func (o *outcomes) add(outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.n[outcome]++
}

func main() { bed.Main(run) }

func run(b *bed.Bed) (int, error) {
	d, err := b.Deploy(bed.Size{Hosts: 6, Replicas: 3}, bed.StreamService, bed.StreamConfig(false, 1, coldPerS), func(r *bed.Replica) {
		r.Handle = func(w http.ResponseWriter, req *http.Request, _ string) {
			bed.Seal(w, r.ID)
			bed.WriteEvents(w, req, 1, eventCount, eventTime, "part")
		}
	})
	if err != nil {
		return bed.Unusable, err
	}
	got := &outcomes{n: map[string]int{}}
	load := d.StartLoad(perSecond, func(h *bed.Host) { got.add(ask(h)) })
	time.Sleep(warmUp)
	if bed.Trouble() {
		d.Store.GoDown(true)
	}
	time.Sleep(outage - downTime)
	d.Replicas[0].Stop()
	time.Sleep(downTime - burstLead)
	b.Log("requesters: %.1f times as many", burst)
	load.Burst(burst, burstTime)
	time.Sleep(burstLead)
	if bed.Trouble() {
		d.Store.ComeBack()
	}
	cold := &coldReplica{bed: b}
	if cold.Replica, err = d.AddReplica(); err != nil {
		return bed.Unusable, err
	}
	cold.start()
	d.Store.Remove(d.Replicas[0].Key())
	d.Store.Set(cold.Key(), cold.Entry("ready"))
	for range 10 {
		time.Sleep(coldTime / 10)
		b.Log("hosts registered: %d", d.Store.Hosts())
	}
	load.Stop()
	b.Log("answers: %v", got.n)
	if got.n["200 OK"] < 100 {
		return bed.Unusable, errors.New("the hosts did not serve")
	}
	most := cold.most()
	return b.Verdict(float64(most) > bound, "the cold replica got %d requests in one second; the bound is %.0f", most, bound)
}

// ask requests a stream, reads it to its end and returns the outcome.
func ask(h *bed.Host) string {
	resp, err := bed.Send(context.Background(), h.Address(), bed.NewStreamRequest())
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	return resp.Status
}
