package host

import "cicadapitch.example/cicadapitch"

// suspect begins the time in which a host may refute.
func (c *Core) suspect(now cicadapitch.Instant, e *entry) {
	c.table.change(e, func() { e.health = Suspected })
	e.until = now.Add(suspicion)
	c.changed(e, false, true)
}

func (c *Core) expireSuspicions(now cicadapitch.Instant) {
	if c.table.suspected == 0 {
		return
	}
	for _, e := range c.table.list {
		if e.health == Suspected && e.until <= now {
			c.table.change(e, func() { e.health = Gone })
			e.until = now.Add(retention)
			c.changed(e, false, true)
		}
	}
}

// refute answers a suspicion of this host with a higher version.
func (c *Core) refute(s Status) {
	c.table.change(c.self, func() { c.self.member.Version = s.Version + 1 })
	c.changed(c.self, false, true)
}
