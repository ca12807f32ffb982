package host

import "cicadapitch.example/cicadapitch"

// suspect marks e as Suspected and starts its suspicion timeout.
func (c *Core) suspect(now cicadapitch.Instant, e *entry) {
	c.table.update(e, func() { e.health = Suspected })
	e.expiresAt = now.Add(suspicionTimeout)
	c.announce(e, false, true)
}

// expireSuspicions marks hosts as Gone whose suspicion timeout has passed.
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

// refute refutes the suspicion s of this host by announcing a higher version.
func (c *Core) refute(s Status) {
	c.table.update(c.self, func() { c.self.member.Version = s.Version + 1 })
	c.announce(c.self, false, true)
}
