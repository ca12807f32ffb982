package host

import (
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// probe is a direct probe of a host, or the probes through others after it.
type probe struct {
	target   Ref
	deadline cicadapitch.Instant
	// indirect is true for a probe through another host. Those of one target
	// share left, the count of those without a result.
	indirect bool
	pending  *int
}

// probeNext pings this host's successor and the next host of the ring in turn.
// Every host is the successor of one, so that the span until it is probed is
// bounded; the ring spreads news and finds runs of failed hosts.
func (c *Core) probeNext(now cicadapitch.Instant) []Command {
	c.probeCount++
	e := c.successor()
	if c.probeCount%2 == 0 || e == nil {
		e = c.nextInRing()
	}
	if e == nil {
		return nil
	}
	cmd := c.command(e.member.PeerAddress, probeTimeout)
	if e.health != Alive {
		// The host may refute it at once.
		cmd.Ping.News = append(cmd.Ping.News, e.status())
	}
	c.probes[cmd.ID] = &probe{target: e.ref, deadline: now.Add(probeTimeout)}
	return []Command{cmd}
}

// successor returns the host that answers with the next higher reference.
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

// nextInRing goes round the ring, which is shuffled again after each round.
func (c *Core) nextInRing() *entry {
	for range len(c.probeRing) + 1 {
		if c.ringPosition >= len(c.probeRing) {
			c.shuffleRing()
		}
		if len(c.probeRing) == 0 {
			return nil
		}
		e := c.table.byRef[c.probeRing[c.ringPosition]]
		c.ringPosition++
		if e != nil && e.health != Gone {
			return e
		}
	}
	return nil
}

func (c *Core) shuffleRing() {
	c.ringPosition = 0
	c.probeRing = c.probeRing[:0]
	for _, e := range c.table.entries {
		if e != c.self && e.health != Gone {
			c.probeRing = append(c.probeRing, e.ref)
		}
	}
	c.rand.Shuffle(len(c.probeRing), func(i, j int) { c.probeRing[i], c.probeRing[j] = c.probeRing[j], c.probeRing[i] })
}

// insertIntoRing adds a new host at a random place of the ring.
func (c *Core) insertIntoRing(ref Ref) {
	at := c.ringPosition + c.rand.IntN(len(c.probeRing)-c.ringPosition+1)
	c.probeRing = slices.Insert(c.probeRing, at, ref)
}

// expireProbes treats probes without a result as failed.
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

// HandleFailure tells that a ping got no answer.
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

// probeIndirectly asks other hosts to ping the target, which tells a dead
// host from a broken path.
func (c *Core) probeIndirectly(now cicadapitch.Instant, e *entry) []Command {
	helpers := c.pickRandom(indirectProbes, func(h *entry) bool { return h != e && h.health == Alive })
	if len(helpers) == 0 {
		c.suspect(now, e)
		return nil
	}
	pending := len(helpers)
	cmds := make([]Command, 0, pending)
	for _, h := range helpers {
		cmd := c.command(h.member.PeerAddress, indirectProbeTimeout)
		cmd.Ping.Target, cmd.Ping.TargetRef = e.member.PeerAddress, e.ref
		c.probes[cmd.ID] = &probe{target: e.ref, deadline: now.Add(indirectProbeTimeout), indirect: true, pending: &pending}
		cmds = append(cmds, cmd)
	}
	return cmds
}

// completeProbe ends a probe whose ping was answered. An answer by another host, which
// has taken over the address, is a failure.
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

// pickRandom returns up to n random hosts that match, this one excluded.
func (c *Core) pickRandom(n int, match func(*entry) bool) []*entry {
	list := lo.Filter(c.table.entries, func(e *entry, _ int) bool { return e != c.self && match(e) })
	for i := range min(n, len(list)) {
		j := i + c.rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// Relay returns the ping that a host sends for another.
func (c *Core) Relay(address string) Command {
	return c.command(address, probeTimeout)
}
