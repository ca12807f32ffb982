package canary

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// MaxDuration is the longest duration of an order. Longer ones are errors of the operator.
const MaxDuration = 7 * 24 * 60 * cicadapitch.Minute

// Order is one rollout order as a host knows it.
type Order struct {
	Service catalog.ServiceID
	To      cicadapitch.SoftwareVersion
	// Duration is the time from the order to its deadline.
	Duration cicadapitch.Millis
	// Revision is that of the order's key in the store. A repeated order has another revision.
	Revision cicadapitch.StoreRevision
	// At is when this host first knew the order.
	At cicadapitch.Instant
}

// Deadline returns the instant by which a good version is to be completed.
func (o Order) Deadline() cicadapitch.Instant { return o.At.Add(o.Duration) }

// Check returns an Invalid error, which names the remedy, for an order that cannot be carried out.
func (o Order) Check() error {
	const remedy = "write the order again with a service, a version and a duration"
	switch {
	case o.Service == "":
		return cicadapitch.NewError(cicadapitch.Invalid, "the rollout order names no service", remedy)
	case o.To == "":
		return cicadapitch.NewError(cicadapitch.Invalid, "the rollout order names no version", remedy)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return cicadapitch.NewError(cicadapitch.Invalid, fmt.Sprintf(
			"the rollout order has a duration of %d ms, allowed are 1 to %d ms", o.Duration, MaxDuration), remedy)
	}
	return nil
}

// Bounds are the bounds on a bad version, from the settings. A field that is 0 or out of range is
// replaced by its default.
type Bounds struct {
	// ExposureShare is the largest share of a service's requests that a bad version may get, and
	// ExposureSlack the number of requests that it may get beyond that.
	ExposureShare float64
	ExposureSlack int
	// RollbackAfter is the time after the 50th bad answer from which a bad version gets no requests.
	RollbackAfter cicadapitch.Millis
}

// State is what a successor of the owner needs: the system's own record of a rollout in the store.
type State struct {
	// Revision is that of the order.
	Revision cicadapitch.StoreRevision
	Phase    Phase
	// Since is when the phase began. For Canary it is Order.At of the first owner.
	Since cicadapitch.Instant
}
