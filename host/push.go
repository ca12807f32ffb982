package host

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// pushUpdates returns pings with the pending updates to fanout random hosts. Hosts
// with an older configuration come first.
func (c *Core) pushUpdates() []Command {
	c.pushPending = false
	targets := c.pickRandom(fanout, func(e *entry) bool {
		return e.health == Alive && e.member.Revision < c.self.member.Revision
	})
	if len(targets) < fanout {
		targets = append(targets, c.pickRandom(fanout-len(targets), func(e *entry) bool {
			return e.health == Alive && !slices.Contains(targets, e)
		})...)
	}
	cmds := make([]Command, 0, fanout)
	for _, e := range targets {
		c.spendBudget(pushOverheadBytes)
		cmds = append(cmds, c.newPing(e.member.PeerAddress, probeTimeout))
	}
	return cmds
}

// reconnect returns a ping to a random address at which no live host is known. Such
// pings join a deployment through its seeds, and merge the members again after a
// network partition.
func (c *Core) reconnect(now cicadapitch.Instant) []Command {
	isolated := c.table.notGone <= 1
	c.reconnectAt = now.Add(reconnectInterval)
	if isolated {
		c.reconnectAt = now.Add(probeInterval)
	}
	addresses := c.reconnectAddresses()
	if len(addresses) == 0 {
		return nil
	}
	cmd := c.newPing(addresses[c.rand.IntN(len(addresses))], probeTimeout)
	cmd.Ping.Buckets = slices.Clone(c.table.buckets[:])
	cmd.Ping.Records = append(cmd.Ping.Records, c.self.record())
	for _, e := range c.table.entries {
		if e.health == Gone && e.member.PeerAddress == cmd.Address {
			cmd.Ping.News = append(cmd.Ping.News, e.status())
		}
	}
	return []Command{cmd}
}

// reconnectAddresses returns the addresses of seeds and of hosts that are Gone,
// except those at which a host that is not Gone is known.
func (c *Core) reconnectAddresses() []string {
	excluded := make(map[string]bool, len(c.table.entries))
	for _, e := range c.table.entries {
		if e.health != Gone {
			excluded[e.member.PeerAddress] = true
		}
	}
	var list []string
	add := func(address string) {
		if address != "" && !excluded[address] {
			excluded[address] = true
			list = append(list, address)
		}
	}
	for _, address := range c.seeds {
		add(address)
	}
	for _, e := range c.table.entries {
		// A host that announced its departure does not return under this record.
		if e.health == Gone && e.member.State != cicadapitch.Dead {
			add(e.member.PeerAddress)
		}
	}
	return list
}
