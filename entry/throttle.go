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

// throttles holds what became lately of each customer's work at each stage. The
// keys are customers and stages of the configuration, so their number is bounded.
type throttles struct{ cells sync.Map }

func (t *throttles) cell(c cicadapitch.CustomerID, st cicadapitch.Stage) *throttleCell {
	k := throttleKey{c, st.Pool, st.ID}
	cell, ok := t.cells.Load(k)
	if !ok {
		cell, _ = t.cells.LoadOrStore(k, &throttleCell{})
	}
	return cell.(*throttleCell)
}

// accepted notes that an owner took up a customer's work.
func (t *throttles) accepted(now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage) {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state = cell.state.RecordAccepted(now)
}

// refused notes that an owner refused a customer's work.
func (t *throttles) refused(
	now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage, after cicadapitch.Millis,
) {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state = cell.state.RecordRefused(now, after)
}

// refuse decides on new work and says when to come back. The random number lies
// in [0, 1).
func (t *throttles) refuse(
	now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage, random float64,
) (after cicadapitch.Millis, refused bool) {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state, after, refused = cell.state.Refuse(now, random)
	return after, refused
}

// contended is true while a customer's own work at a stage was refused lately.
func (t *throttles) contended(now cicadapitch.Instant, c cicadapitch.CustomerID, st cicadapitch.Stage) bool {
	cell := t.cell(c, st)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	return cell.state.Contended(now)
}

// throttled refuses a request of a customer much of whose work is refused at one
// of the stages, so that no early stage runs in vain.
func (s *Server) throttled(rec *record) error {
	now := s.clock.Now()
	for _, st := range rec.pipeline.Stages {
		after, refused := s.throttles.refuse(now, rec.req.Customer, st, s.random.fraction())
		if refused {
			return cicadapitch.NewNotRun("much of the customer's work is refused at stage "+string(st.ID), after)
		}
	}
	return nil
}

// ownWaits returns a plan without the waits at stages where the customer's own
// work was not refused lately, since the queues there may be those of others.
func (s *Server) ownWaits(rec *record, plan pipeline.Plan) pipeline.Plan {
	now := s.clock.Now()
	for i, st := range rec.pipeline.Stages {
		if !s.throttles.contended(now, rec.req.Customer, st) {
			plan[i].Wait = 0
		}
	}
	return plan
}

// noteRefusal notes an attempt that its owner refused for want of room. Other
// refusals and lost connections tell nothing of the customer's share.
func (r *stageRun) noteRefusal(err error) {
	e := cicadapitch.AsError(err)
	if e == nil || !e.Contended {
		return
	}
	r.s.throttles.refused(r.s.clock.Now(), r.rec.req.Customer, r.stage, e.RetryAfter)
}
