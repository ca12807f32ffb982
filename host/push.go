package host

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// push tells some random hosts at once. Those with an older configuration come
// first.
func (c *Core) push() []Command {
	c.urgent = false
	targets := c.pick(fanout, func(e *entry) bool {
		return e.health == Alive && e.member.Revision < c.self.member.Revision
	})
	if len(targets) < fanout {
		targets = append(targets, c.pick(fanout-len(targets), func(e *entry) bool {
			return e.health == Alive && !slices.Contains(targets, e)
		})...)
	}
	cmds := make([]Command, 0, fanout)
	for _, e := range targets {
		c.spend(pushBytes)
		cmds = append(cmds, c.command(e.member.PeerAddress, probeTimeout))
	}
	return cmds
}

// reconnect pings an address that is not known to be alive, which finds the
// first hosts, and those that were cut off.
func (c *Core) reconnect(now cicadapitch.Instant) []Command {
	alone := c.table.alive <= 1
	c.reconnectAt = now.Add(reconnectInterval)
	if alone {
		c.reconnectAt = now.Add(probeInterval)
	}
	addresses := c.lost()
	if len(addresses) == 0 {
		return nil
	}
	cmd := c.command(addresses[c.rand.IntN(len(addresses))], probeTimeout)
	cmd.Ping.Buckets = slices.Clone(c.table.buckets[:])
	cmd.Ping.Records = append(cmd.Ping.Records, c.self.record())
	for _, e := range c.table.list {
		if e.health == Gone && e.member.PeerAddress == cmd.Address {
			cmd.Ping.News = append(cmd.Ping.News, e.status())
		}
	}
	return []Command{cmd}
}

// lost returns the addresses of seeds and of hosts that are Gone, except where
// a host is known to be alive.
func (c *Core) lost() []string {
	alive := make(map[string]bool, len(c.table.list))
	for _, e := range c.table.list {
		if e.health != Gone {
			alive[e.member.PeerAddress] = true
		}
	}
	var list []string
	add := func(address string) {
		if address != "" && !alive[address] {
			alive[address] = true
			list = append(list, address)
		}
	}
	for _, address := range c.seeds {
		add(address)
	}
	for _, e := range c.table.list {
		// A host that said goodbye does not come back under its record.
		if e.health == Gone && e.member.State != cicadapitch.Dead {
			add(e.member.PeerAddress)
		}
	}
	return list
}
