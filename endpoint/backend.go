package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// backend is the shard's state of one endpoint.
type backend struct {
	cicadapitch.Endpoint

	// Each of these flags takes the endpoint out of service. Operators set
	// out, the load reports of the endpoint set leaving, a configuration
	// without the endpoint sets removed, and Pause sets paused while an engine
	// loads a model.
	out     bool
	leaving bool
	removed bool
	paused  bool

	running []*job
	// unconfirmed counts the running calls that have not yet shown by a first
	// output in time that the endpoint is warm.
	unconfirmed cicadapitch.Slots
	// stalled is true while a running call is overdue by Policy.StallFactor. A
	// stalled endpoint gets no new calls.
	stalled bool
	// affinityQueue holds jobs that wait for a slot of this endpoint because
	// its prefix cache probably holds their prefixes.
	affinityQueue []*job
	// untracked holds the latest possible end, in ascending order, of each
	// call that may still run at the endpoint but that this owner does not
	// track, such as calls of the previous owner and broken calls.
	untracked []cicadapitch.Instant

	// slowStartSlots is the number of concurrent calls that slow start allows.
	slowStartSlots cicadapitch.Slots
	// coldSince is when the endpoint was last marked as cold.
	coldSince cicadapitch.Instant
	// goodCalls counts the good calls since the last change of slowStartSlots.
	// goodCallsPerSlot of them add a slot.
	goodCalls        int
	goodCallsPerSlot int

	lastCallEnd cicadapitch.Instant
	// addedAt is when the endpoint was added to the shard.
	addedAt cicadapitch.Instant
	// previousCallsKnown is true once a load report that was measured after
	// addedAt has counted the calls that already ran at the endpoint, or
	// Policy.UntrackedTimeout has passed since addedAt.
	previousCallsKnown bool
	// reportedCold is true where the last load report said that the endpoint
	// is cold.
	reportedCold bool
	// lastReport is when the latest applied load report was requested.
	lastReport cicadapitch.Instant
	// lastPoll is when the last load report was requested. polling is true
	// until that report has been read or its reading has failed.
	lastPoll cicadapitch.Instant
	polling  bool

	// relativeLatency is the latency of the endpoint while it does not report
	// itself as cold, as a multiple of the prediction of the shard's model.
	relativeLatency     movingAverage
	consecutiveFailures int
	// ejectedUntil is the end of the ejection, 0 for an endpoint that is not
	// ejected. After this instant the endpoint is on probation with one slot
	// until a call succeeds.
	ejectedUntil cicadapitch.Instant
	ejections    int

	prefixes prefixView
}

// newBackend returns the state of a cold endpoint that was added at now.
func newBackend(now cicadapitch.Instant, e cicadapitch.Endpoint, p Policy, pool cicadapitch.Pool) *backend {
	return &backend{
		Endpoint:         e,
		slowStartSlots:   pool.ColdSlots,
		coldSince:        now,
		goodCallsPerSlot: 1,
		addedAt:          now,
		lastPoll:         now.Add(-p.PollInterval),
		prefixes:         newPrefixView(p.MaxPrefixes),
	}
}

// inService reports whether the endpoint may get new calls.
func (b *backend) inService() bool { return !b.out && !b.leaving && !b.removed && !b.paused }

// busy returns the number of calls that run or may run at the endpoint.
func (b *backend) busy() cicadapitch.Slots {
	return cicadapitch.Slots(len(b.running) + len(b.untracked))
}

// Bounds of the value that State.relativeLatency returns, as multiples of the
// latency that the model predicts.
const (
	minRelativeLatency = 0.25
	maxRelativeLatency = 8
)

func (b *backend) removeRunning(j *job) {
	b.running = slices.DeleteFunc(b.running, func(k *job) bool { return k == j })
	b.confirm(j)
}

// confirm removes a call from the unconfirmed ones after a first output in
// time, or after its end. A second confirm of the call does nothing.
func (b *backend) confirm(j *job) {
	if !j.confirmed {
		j.confirmed = true
		b.unconfirmed--
	}
}

// addUntracked counts an untracked call as running until the given instant.
func (b *backend) addUntracked(until cicadapitch.Instant) {
	b.untracked = append(b.untracked, until)
	slices.Sort(b.untracked)
}

// expireUntracked drops the untracked calls that have ended by now.
func (b *backend) expireUntracked(now cicadapitch.Instant) {
	n := 0
	for n < len(b.untracked) && b.untracked[n] <= now {
		n++
	}
	b.untracked = b.untracked[n:]
}
