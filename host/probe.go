package host

import (
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// probe is a pending direct probe of a host, or one of the indirect probes that
// follow a failed direct one.
type probe struct {
	target   Ref
	deadline cicadapitch.Instant
	// indirect is true for a probe through another host. The indirect probes of
	// a target share pending, the number of them without a result.
	indirect bool
	pending  *int
}

// probeNext probes, in alternation, the successor of this host and the next host
// of the probe order. Each live host is the successor of exactly one other, which
// bounds the time until it is probed. The random probe order spreads updates and
// detects failures of several hosts in succession.
func (c *Core) probeNext(now cicadapitch.Instant) []Command {
	c.probeCount++
	e := c.successor()
	if c.probeCount%2 == 0 || e == nil {
		e = c.nextInProbeOrder()
	}
	if e == nil {
		return nil
	}
	cmd := c.newPing(e.member.PeerAddress, probeTimeout)
	if e.health != Alive {
		// Tell the host that this host suspects it, so that it can refute the
		// suspicion at once.
		cmd.Ping.News = append(cmd.Ping.News, e.status())
	}
	c.probes[cmd.ID] = &probe{target: e.ref, deadline: now.Add(probeTimeout)}
	return []Command{cmd}
}

// successor returns the next Alive host after this one in the order of references,
// which wraps around. It returns nil if no other host is Alive.
func (c *Core) successor() *entry {
	var next, lowest *entry
	for _, e := range c.table.entries {
		if e == c.self || e.health != Alive {
			continue
		}
		if lowest == nil || e.ref < lowest.ref {
			lowest = e
		}
		if e.ref > c.self.ref && (next == nil || e.ref < next.ref) {
			next = e
		}
	}
	if next == nil {
		return lowest
	}
	return next
}

// nextInProbeOrder returns the next host of the probe order that is not Gone, or nil.
// The order is shuffled after each round.
func (c *Core) nextInProbeOrder() *entry {
	for range len(c.probeOrder) + 1 {
		if c.probePosition >= len(c.probeOrder) {
			c.shuffleProbeOrder()
		}
		if len(c.probeOrder) == 0 {
			return nil
		}
		e := c.table.byRef[c.probeOrder[c.probePosition]]
		c.probePosition++
		if e != nil && e.health != Gone {
			return e
		}
	}
	return nil
}

// shuffleProbeOrder rebuilds the probe order at random from the table.
func (c *Core) shuffleProbeOrder() {
	c.probePosition = 0
	c.probeOrder = c.probeOrder[:0]
	for _, e := range c.table.entries {
		if e != c.self && e.health != Gone {
			c.probeOrder = append(c.probeOrder, e.ref)
		}
	}
	c.rand.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
}

// insertIntoProbeOrder inserts a new host at a random position among those that are
// still to be probed in this round.
func (c *Core) insertIntoProbeOrder(ref Ref) {
	at := c.probePosition + c.rand.IntN(len(c.probeOrder)-c.probePosition+1)
	c.probeOrder = slices.Insert(c.probeOrder, at, ref)
}

// expireProbes handles the probes whose deadline has passed as failed.
func (c *Core) expireProbes(now cicadapitch.Instant) []Command {
	var cmds []Command
	for _, id := range lo.Filter(sortedKeys(c.probes), func(id uint64, _ int) bool { return c.probes[id].deadline <= now }) {
		cmds = append(cmds, c.HandleFailure(now, id)...)
	}
	return cmds
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

// HandleFailure handles a ping without an answer, by the ID of its command. It
// returns the indirect probes to send after a failed direct probe.
func (c *Core) HandleFailure(now cicadapitch.Instant, id uint64) []Command {
	p, ok := c.probes[id]
	if !ok {
		return nil
	}
	delete(c.probes, id)
	e := c.table.byRef[p.target]
	if e == nil || e.health != Alive {
		return nil
	}
	if !p.indirect {
		return c.probeIndirectly(now, e)
	}
	*p.pending--
	if *p.pending == 0 {
		c.suspect(now, e)
	}
	return nil
}

// probeIndirectly returns requests to other hosts to ping the host of e. They
// distinguish a failed host from a broken path. Without other hosts e becomes
// Suspected.
func (c *Core) probeIndirectly(now cicadapitch.Instant, e *entry) []Command {
	helpers := c.pickRandom(indirectProbes, func(h *entry) bool { return h != e && h.health == Alive })
	if len(helpers) == 0 {
		c.suspect(now, e)
		return nil
	}
	pending := len(helpers)
	cmds := make([]Command, 0, pending)
	for _, h := range helpers {
		cmd := c.newPing(h.member.PeerAddress, indirectProbeTimeout)
		cmd.Ping.Target, cmd.Ping.TargetRef = e.member.PeerAddress, e.ref
		c.probes[cmd.ID] = &probe{target: e.ref, deadline: now.Add(indirectProbeTimeout), indirect: true, pending: &pending}
		cmds = append(cmds, cmd)
	}
	return cmds
}

// completeProbe handles the answer to a probe and ends all probes of the target.
// An answer from another host, which has taken over the address, is a failure.
func (c *Core) completeProbe(now cicadapitch.Instant, id uint64, a Ack) []Command {
	p, ok := c.probes[id]
	if !ok {
		return nil
	}
	reached := a.Reached
	if !p.indirect {
		reached = a.Self.Ref == p.target
	}
	if !reached {
		return c.HandleFailure(now, id)
	}
	for otherID, other := range c.probes {
		if other.target == p.target {
			delete(c.probes, otherID)
		}
	}
	return nil
}

// pickRandom returns up to n random hosts that match, without this host.
func (c *Core) pickRandom(n int, match func(*entry) bool) []*entry {
	list := lo.Filter(c.table.entries, func(e *entry, _ int) bool { return e != c.self && match(e) })
	for i := range min(n, len(list)) {
		j := i + c.rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// NewRelayedPing returns the ping to send to address, which is ip:port, for a host that
// has requested an indirect probe.
func (c *Core) NewRelayedPing(address string) Command {
	return c.newPing(address, probeTimeout)
}
