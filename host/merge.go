package host

import (
	"cicadapitch.example/cicadapitch"
)

// mergeStatus applies a status that is newer than its entry. It reports false if the
// record of the host is needed first. The status of a host that is Gone never needs it.
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

// checkOwnStatus refutes a status that calls this host Suspected or Gone.
func (c *Core) checkOwnStatus(s Status) {
	if s.Health != Alive && s.Version >= c.self.member.Version && c.self.member.State != cicadapitch.Dead {
		c.refute(s)
	}
}

// setExpiry sets the expiry of an entry whose host is Suspected or Gone.
func (c *Core) setExpiry(now cicadapitch.Instant, e *entry) {
	switch e.health {
	case Suspected:
		e.expiresAt = now.Add(suspicionTimeout)
	case Gone:
		e.expiresAt = now.Add(retention)
	}
}

// mergeRecord adds a record to the table, or replaces the entry of its host if the
// record is newer.
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

// addEntry adds a new host to the table and the probe order, unless it is Gone.
func (c *Core) addEntry(now cicadapitch.Instant, e *entry) {
	if e.health == Gone {
		return
	}
	c.table.put(e)
	c.setExpiry(now, e)
	c.insertIntoProbeOrder(e.ref)
	c.announce(e, true, true)
}

// replaceEntry replaces old by e, of the same incarnation, if e is newer.
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

// retire removes a replaced incarnation from the table and has it ignored for the
// retention time.
func (c *Core) retire(now cicadapitch.Instant, old *entry) {
	c.table.retired[old.ref] = now.Add(retention)
	c.table.remove(old)
}

// resolveHostIDConflict handles a record e with the host id of this process. For a
// record of this process itself only the health is checked. A record of a process that
// started earlier is ignored. If e started later, then within joinPeriod of its own start
// this process takes e for a predecessor whose clock was ahead, and raises its own start
// time above that of e. After joinPeriod this process counts as replaced.
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
