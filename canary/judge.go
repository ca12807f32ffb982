package canary

import (
	"cicadapitch.example/cicadapitch"
)

// Option configures a Judge.
type Option func(*Judge)

// WithState resumes a rollout from the record of an earlier owner. A record of another order has no
// effect.
func WithState(s State) Option { return func(j *Judge) { j.Recorded(s) } }

// Judge decides one rollout at the owner. It is not safe for concurrent use.
type Judge struct {
	order    Order
	bounds   Bounds
	state    State
	recorded bool
	newCount int
	reports  map[string]Report
}

// NewJudge returns the judge of an order.
func NewJudge(o Order, bounds Bounds, opts ...Option) *Judge {
	j := &Judge{order: o, bounds: bounds, state: State{Revision: o.Revision, Since: o.At}, reports: map[string]Report{}}
	for _, opt := range opts {
		opt(j)
	}
	return j
}

// Report takes a report of a host. Reports may be lost, late, repeated or out of order.
func (j *Judge) Report(_ cicadapitch.Instant, host string, r Report) {
	if r.Revision == j.order.Revision {
		j.reports[host] = r
	}
}

// SetEndpoints sets the numbers of endpoints that may serve: those of the old version, and those of the
// new version that requests are sent to in the current phase. Without endpoints of the new version, a
// rollout stays in Canary. Both are 0 until the first call.
func (j *Judge) SetEndpoints(_, newCount int) { j.newCount = newCount }

// Decide returns the decision for now. live are the hosts that are alive, by the names of their reports.
// longest is the longest time that a call of the service's routes may take, 0 if that is not known.
//
// A phase that changes takes effect in this order: the owner writes State to the store, calls Recorded,
// and then tells the hosts. Only a rollback is told at once.
func (j *Judge) Decide(now cicadapitch.Instant, live []string, longest cicadapitch.Millis) Decision {
	d := Decision{Deadline: j.order.Deadline(), ShiftAt: j.order.Deadline().Add(-longest - 2*cicadapitch.Second)}
	if j.state.Phase == Canary && now >= d.ShiftAt && j.newCount > 0 {
		j.state.Phase, j.state.Since = Shift, now
	}
	for _, host := range live {
		if r, ok := j.reports[host]; !ok || r.Phase != Shift || r.Old > 0 {
			d.Waiting = append(d.Waiting, host)
		}
	}
	if j.state.Phase == Shift && len(d.Waiting) == 0 {
		j.state.Phase, j.state.Since = Completed, now
	}
	d.Phase = j.state.Phase
	switch d.Phase {
	case Canary:
		d.Share = 0.8 * j.bounds.ExposureShare
	case Shift, Completed:
		d.Share = 1
	case RolledBack:
	}
	return d
}

// State returns the record to write to the store.
func (j *Judge) State() State { return j.state }

// Recorded tells the judge which record the store holds, its own or that of another owner. The recorded
// phase wins over one that the judge has decided but that is not recorded. A phase never moves
// back, and a recorded final phase never changes.
func (j *Judge) Recorded(s State) {
	if s.Revision != j.order.Revision {
		return
	}
	if s.Phase > j.state.Phase && !(j.recorded && j.state.Phase.Final()) {
		j.state = s
	}
	j.recorded = true
}
