package fleet

import (
	"maps"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
)

// Rollout is what the store has of the rollout of one service.
type Rollout struct {
	// Order is the operator's order. It has no revision if there is none, or an invalid one.
	Order canary.Order
	// OrderRevision is the revision of the order's key. It is later than that of Order if the store came
	// back from an older copy that has the same order.
	OrderRevision cicadapitch.StoreRevision
	// Progress is how far an order has come, the last one that hosts have taken up.
	Progress RolloutProgress
	// Status is what operators read.
	Status RolloutStatus
}

// RolloutProgress is how far an order has come, as hosts have stored it.
type RolloutProgress struct {
	// Order is the number of the order's revision.
	Order int64
	To    cicadapitch.SoftwareVersion
	Phase canary.Phase
	// At is when the first host knew the order, Since when the phase came into force.
	At, Since cicadapitch.Instant
	// Revision is that of the key, or 0 if there is none.
	Revision cicadapitch.StoreRevision
}

// RolloutStatus is the status of a rollout that the store has.
type RolloutStatus struct {
	Phase canary.Phase
	To    cicadapitch.SoftwareVersion
	// Revision is that of the key, or 0 if there is none.
	Revision cicadapitch.StoreRevision
}

// Of reports whether the progress is that of an order. The era of the order's revision does not count:
// the store has the same order again after it came back from an older copy.
func (p RolloutProgress) Of(o canary.Order) bool {
	return p.Revision != 0 && o.Revision != 0 && p.Order == o.Revision.Number() && p.To == o.To
}

// Rejected returns the version that was rolled back, and false if there is none.
func (s RolloutStatus) Rejected() (cicadapitch.SoftwareVersion, bool) {
	return s.To, s.Revision != 0 && s.Phase == canary.RolledBack
}

// Rollout returns what is known of the rollout of a service.
func (s *State) Rollout(service catalog.ServiceID) Rollout { return s.rollouts[service] }

// SetRollout sets what is known of the rollout of a service.
func (s *State) SetRollout(service catalog.ServiceID, r Rollout) {
	if r.Order.Revision == 0 && r.OrderRevision == 0 && r.Progress.Revision == 0 && r.Status.Revision == 0 {
		delete(s.rollouts, service)
		return
	}
	s.rollouts[service] = r
}

// viewRollouts returns the rollouts as a view lists them.
func (s *State) viewRollouts() map[catalog.ServiceID]Rollout {
	if len(s.rollouts) == 0 {
		return nil
	}
	return maps.Clone(s.rollouts)
}

// LeavingEndpoints returns the endpoints of a service that may get no work.
func (v *View) LeavingEndpoints(s catalog.ServiceID) []Endpoint { return v.leaving[s] }
