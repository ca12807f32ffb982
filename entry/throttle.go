package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
	"cicadapitch.example/cicadapitch/pipeline"
)

type throttleKey struct {
	customer cicadapitch.CustomerID
	pool     cicadapitch.PoolID
	stage    cicadapitch.StageID
}

// throttleCell holds one throttle under its own lock.
type throttleCell struct {
	mu    sync.Mutex
	state customer.Throttle
}

// throttles holds a throttle for each customer and stage. The keys are customers and
// stages of the configuration, so their number is bounded.
type throttles struct{ cells sync.Map }

func (t *throttles) cell(c cicadapitch.CustomerID, st cicadapitch.Stage) *throttleCell {
	k := throttleKey{c, st.Pool, st.ID}
	cell, ok := t.cells.Load(k)
	if !ok {
		cell, _ = t.cells.LoadOrStore(k, &throttleCell{})
	}
	return cell.(*throttleCell)
}

// recordAccepted records that a shard owner accepted a customer's work.
func (t *throttles) recordAccepted(now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage) {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state = cell.state.RecordAccepted(now)
}

// recordRefused records that a shard owner refused a customer's work and asked to retry
// after the given time.
func (t *throttles) recordRefused(
	now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage, after cicadapitch.Millis,
) {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state = cell.state.RecordRefused(now, after)
}

// shouldRefuse reports whether to refuse new work of a customer, and the time after
// which to retry it. The random number lies in [0, 1).
func (t *throttles) shouldRefuse(
	now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage, random float64,
) (after cicadapitch.Millis, refused bool) {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state, after, refused = cell.state.DecideRefusal(now, random)
	return after, refused
}

// contended reports whether a customer's own work was recently refused at a stage.
func (t *throttles) contended(now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage) bool {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	return cell.state.Contended(now)
}

// checkThrottles returns a NotRun error for a random part of the requests of a
// customer whose work is often refused at one of the stages, before earlier stages
// run in vain.
func (s *Server) checkThrottles(request *requestRun) error {
	now := s.clock.Now()
	for _, st := range request.pipeline.Stages {
		after, refused := s.throttles.shouldRefuse(now, request.req.Customer, st, s.random.fraction())
		if refused {
			return cicadapitch.NewNotRun("much of the customer's work is refused at stage "+string(st.ID), after)
		}
	}
	return nil
}

// withoutOtherCustomersWaits sets the waits of a plan to 0 at stages where the
// customer's own work was not recently refused, because the queues there may hold
// only work of other customers. It changes the plan in place and returns it.
func (s *Server) withoutOtherCustomersWaits(request *requestRun, plan pipeline.Plan) pipeline.Plan {
	now := s.clock.Now()
	for i, st := range request.pipeline.Stages {
		if !s.throttles.contended(now, request.req.Customer, st) {
			plan[i].Wait = 0
		}
	}
	return plan
}

// recordRefusal records an attempt that its owner refused for lack of capacity.
// Other refusals and lost connections say nothing about the customer's share.
func (r *stageRun) recordRefusal(err error) {
	e := cicadapitch.AsError(err)
	if e == nil || !e.Contended {
		return
	}
	r.server.throttles.recordRefused(r.server.clock.Now(), r.request.req.Customer, r.stage, e.RetryAfter)
}
