package canary

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Tally is one host's record for one order: its running calls and its counts. It is safe for concurrent
// use. Calls that began before the tally are not in it; the host adds them to Report.Old and Report.New.
type Tally struct {
	revision    cicadapitch.StoreRevision
	incarnation string

	// mu guards the fields below.
	mu       sync.Mutex
	routes   map[string]*RouteCounts
	running  map[*Call]struct{}
	sequence uint64
}

// Call is a call that runs at an endpoint of the service. Its methods do nothing after its end.
type Call struct {
	tally  *Tally
	counts *VersionCounts
	isNew  bool
	timed  bool
	began  cicadapitch.Instant
	// answered is set once the answer or the first event of a stream has arrived.
	answered bool
}

// NewTally returns an empty tally of a host's process for an order.
func NewTally(revision cicadapitch.StoreRevision, incarnation string) *Tally {
	return &Tally{
		revision: revision, incarnation: incarnation, routes: map[string]*RouteCounts{}, running: map[*Call]struct{}{},
	}
}

// Begin records that a call begins. timed is false at cold endpoints, whose times are not counted.
func (t *Tally) Begin(now cicadapitch.Instant, route string, isNew, timed bool) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := routeKey(t.routes, route)
	rc := t.routes[name]
	if rc == nil {
		rc = &RouteCounts{}
		t.routes[name] = rc
	}
	c := &Call{tally: t, counts: &rc.Old, isNew: isNew, timed: timed, began: now}
	if isNew {
		c.counts = &rc.New
	}
	t.running[c] = struct{}{}
	return c
}

// Answered records that the first event of a stream has arrived. The stream goes on until End.
func (c *Call) Answered(now cicadapitch.Instant) {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if _, ok := c.tally.running[c]; ok {
		c.answer(now)
	}
}

// answer counts the time of the call once.
func (c *Call) answer(now cicadapitch.Instant) {
	if !c.answered && c.timed {
		grow(&c.counts.Times[bin(now.Sub(c.began))])
	}
	c.answered = true
}

// End records that the call has ended, and whether it failed.
func (c *Call) End(now cicadapitch.Instant, failed bool) {
	t := c.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[c]; !ok {
		return
	}
	delete(t.running, c)
	if !failed {
		c.answer(now)
	}
	c.counts.record(failed)
}

// Withdraw records that the call has ended and counts for nothing: the endpoint refused it, or its caller
// has gone.
func (c *Call) Withdraw() {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	delete(c.tally.running, c)
}

// Report returns the next report. phase is the phase in force at the host.
func (t *Tally) Report(now cicadapitch.Instant, phase Phase) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	r := Report{Revision: t.revision, Incarnation: t.incarnation, Sequence: t.sequence, Phase: phase}
	for _, rc := range t.routes {
		rc.Old.Pending, rc.New.Pending = Times{}, Times{}
	}
	for c := range t.running {
		if c.isNew {
			r.New++
		} else {
			r.Old++
		}
		if c.timed && !c.answered {
			grow(&c.counts.Pending[bin(now.Sub(c.began))])
		}
	}
	r.Counts.Routes = make(map[string]RouteCounts, len(t.routes))
	for name, rc := range t.routes {
		r.Counts.Routes[name] = *rc
	}
	return r
}
