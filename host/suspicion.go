package host

import "cicadapitch.example/cicadapitch"

// suspect begins the time in which a host may refute.
func (c *Core) suspect(now cicadapitch.Instant, e *entry) {
	c.table.update(e, func() { e.health = Suspected })
	e.expiresAt = now.Add(suspicionTimeout)
	c.announce(e, false, true)
}

func (c *Core) expireSuspicions(now cicadapitch.Instant) {
	if c.table.suspected == 0 {
		return
	}
	for _, e := range c.table.entries {
		if e.health == Suspected && e.expiresAt <= now {
			c.table.update(e, func() { e.health = Gone })
			e.expiresAt = now.Add(retention)
			c.announce(e, false, true)
		}
	}
}

// refute answers a suspicion of this host with a higher version.
func (c *Core) refute(s Status) {
	c.table.update(c.self, func() { c.self.member.Version = s.Version + 1 })
	c.announce(c.self, false, true)
}
