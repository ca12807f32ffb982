package placement

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// brittleSlotShare is the share of the slots of a brittle endpoint that all hosts together
	// use, so that no call waits there.
	brittleSlotShare = 0.9
	// brittleRefusalShare is the share of the refusals that a brittle endpoint bears which all
	// hosts together cause at most.
	brittleRefusalShare = 0.4
	// maxBrittlePause bounds the pause after a refusal.
	maxBrittlePause = 10 * cicadapitch.Second
)

// brittleSenders returns how many hosts may call a brittle endpoint, and how many calls this host
// may run there. The slots that remain go to the first hosts in the rendezvous order.
func brittleSenders(e fleet.Endpoint, criteria Criteria) (senders float64, calls int) {
	slots := math.Max(math.Floor(brittleSlotShare*float64(e.Slots)), 1)
	senders, ok := sendersOf(e, slots, criteria)
	if !ok {
		return senders, 0
	}
	calls = int(slots / senders)
	if criteria.Rank != nil && criteria.Rank(string(e.ID)) < int(slots)%int(senders) {
		calls++
	}
	return senders, calls
}

// brittleAllowed reports whether this host may start a call at a brittle endpoint.
func (c *Chooser) brittleAllowed(e *fleet.Endpoint, criteria *Criteria) bool {
	if _, brittle := c.limits.Refusals(e.Endpoint); !brittle {
		return true
	}
	_, calls := brittleSenders(*e, *criteria)
	return c.Health(e.ID).Running < calls
}

// RecordRefusal records that an endpoint refused a call for want of room. A brittle one gets no
// calls of this host for so long that all hosts together keep to the refusals that it bears.
func (c *Chooser) RecordRefusal(now cicadapitch.Instant, e fleet.Endpoint, criteria Criteria) {
	refusals, brittle := c.limits.Refusals(e.Endpoint)
	if !brittle {
		return
	}
	senders, _ := brittleSenders(e, criteria)
	pause := maxBrittlePause
	if perSecond := brittleRefusalShare * refusals / senders; perSecond > 0 {
		pause = min(cicadapitch.Millis(float64(cicadapitch.Second)/perSecond), maxBrittlePause)
	}
	c.Health(e.ID).Pause(now.Add(pause))
}
