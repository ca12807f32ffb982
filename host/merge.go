package host

import (
	"cicadapitch.example/cicadapitch"
)

// mergeStatus takes over a status. It reports false if the record is needed
// first.
func (c *Core) mergeStatus(now cicadapitch.Instant, s Status) bool {
	if s.Ref == c.self.ref {
		c.checkOwnStatus(s)
		return true
	}
	e := c.table.byRef[s.Ref]
	if e == nil {
		_, retired := c.table.retired[s.Ref]
		return retired || s.Health == Gone || s.State == cicadapitch.Dead
	}
	if !e.supersededBy(s) {
		return true
	}
	if s.Shape != e.shape {
		return s.Health == Gone
	}
	urgent := s.Health != e.health || s.State != e.member.State
	c.table.update(e, func() { e.applyStatus(s) })
	c.setExpiry(now, e)
	c.announce(e, false, urgent)
	return true
}

// checkOwnStatus refutes what others think of this host.
func (c *Core) checkOwnStatus(s Status) {
	if s.Health != Alive && s.Version >= c.self.member.Version && c.self.member.State != cicadapitch.Dead {
		c.refute(s)
	}
}

// setExpiry sets when the entry's health ends.
func (c *Core) setExpiry(now cicadapitch.Instant, e *entry) {
	switch e.health {
	case Suspected:
		e.expiresAt = now.Add(suspicionTimeout)
	case Gone:
		e.expiresAt = now.Add(retention)
	}
}

// mergeRecord takes over a record.
func (c *Core) mergeRecord(now cicadapitch.Instant, r Record) {
	e := newEntry(r)
	if _, retired := c.table.retired[e.ref]; retired {
		return
	}
	old := c.table.find(r.Host)
	switch {
	case old == nil:
		c.addEntry(now, e)
	case old == c.self:
		c.resolveHostIDConflict(e)
	case old.ref == e.ref:
		c.replaceEntry(now, old, e)
	case old.replacedBy(e.member):
		c.retire(now, old)
		c.addEntry(now, e)
	}
}

func (c *Core) addEntry(now cicadapitch.Instant, e *entry) {
	if e.health == Gone {
		return
	}
	c.table.put(e)
	c.setExpiry(now, e)
	c.insertIntoRing(e.ref)
	c.announce(e, true, true)
}

// replaceEntry replaces an entry by a newer one of the same incarnation.
func (c *Core) replaceEntry(now cicadapitch.Instant, old, e *entry) {
	if !old.supersededBy(Status{Version: e.member.Version, Health: e.health}) {
		return
	}
	urgent := old.health != e.health || old.member.State != e.member.State
	e.copyLoads(old)
	c.table.put(e)
	c.setExpiry(now, e)
	c.announce(e, true, urgent)
}

// retire forgets a replaced incarnation and ignores it from now on.
func (c *Core) retire(now cicadapitch.Instant, old *entry) {
	c.table.retired[old.ref] = now.Add(retention)
	c.table.remove(old)
}

// resolveHostIDConflict settles which of two processes under one host id is valid. A
// process that has just started outbids what is remembered of earlier ones;
// later on it steps back.
func (c *Core) resolveHostIDConflict(e *entry) {
	if e.ref == c.self.ref {
		c.checkOwnStatus(e.status())
		return
	}
	if !c.self.replacedBy(e.member) {
		return
	}
	if c.lastTick.Sub(c.started) > joinPeriod {
		c.replaced = true
		return
	}
	c.table.update(c.self, func() {
		c.self.member.Started = e.member.Started + 1
		c.self.member.Version++
		c.self.shape = c.self.member.Version
	})
	c.announce(c.self, true, true)
}
