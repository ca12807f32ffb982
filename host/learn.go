package host

import (
	"cicadapitch.example/cicadapitch"
)

// learnStatus takes over a status. It reports false if the record is needed
// first.
func (c *Core) learnStatus(now cicadapitch.Instant, s Status) bool {
	if s.Ref == c.self.ref {
		c.learnOwn(s)
		return true
	}
	e := c.table.byRef[s.Ref]
	if e == nil {
		_, retired := c.table.retired[s.Ref]
		return retired || s.Health == Gone || s.State == cicadapitch.Dead
	}
	if !e.older(s) {
		return true
	}
	if s.Shape != e.shape {
		return s.Health == Gone
	}
	urgent := s.Health != e.health || s.State != e.member.State
	c.table.change(e, func() { e.applyStatus(s) })
	c.date(now, e)
	c.changed(e, false, urgent)
	return true
}

// learnOwn refutes what others think of this host.
func (c *Core) learnOwn(s Status) {
	if s.Health != Alive && s.Version >= c.self.member.Version && c.self.member.State != cicadapitch.Dead {
		c.refute(s)
	}
}

// date sets when the entry's health ends.
func (c *Core) date(now cicadapitch.Instant, e *entry) {
	switch e.health {
	case Suspected:
		e.until = now.Add(suspicion)
	case Gone:
		e.until = now.Add(retention)
	}
}

// learnRecord takes over a record.
func (c *Core) learnRecord(now cicadapitch.Instant, r Record) {
	e := newEntry(r)
	if _, retired := c.table.retired[e.ref]; retired {
		return
	}
	old := c.table.find(r.Host)
	switch {
	case old == nil:
		c.addEntry(now, e)
	case old == c.self:
		c.learnNamesake(e)
	case old.ref == e.ref:
		c.renew(now, old, e)
	case old.successor(e.member):
		c.retire(now, old)
		c.addEntry(now, e)
	}
}

func (c *Core) addEntry(now cicadapitch.Instant, e *entry) {
	if e.health == Gone {
		return
	}
	c.table.put(e)
	c.date(now, e)
	c.enrol(e.ref)
	c.changed(e, true, true)
}

// renew replaces an entry by a newer one of the same incarnation.
func (c *Core) renew(now cicadapitch.Instant, old, e *entry) {
	if !old.older(Status{Version: e.member.Version, Health: e.health}) {
		return
	}
	urgent := old.health != e.health || old.member.State != e.member.State
	e.keepLoads(old)
	c.table.put(e)
	c.date(now, e)
	c.changed(e, true, urgent)
}

// retire forgets a replaced incarnation and ignores it from now on.
func (c *Core) retire(now cicadapitch.Instant, old *entry) {
	c.table.retired[old.ref] = now.Add(retention)
	c.table.remove(old)
}

// learnNamesake settles which of two processes under one host id is valid. A
// process that has just started outbids what is remembered of earlier ones;
// later on it steps back.
func (c *Core) learnNamesake(e *entry) {
	if e.ref == c.self.ref {
		c.learnOwn(e.status())
		return
	}
	if !c.self.successor(e.member) {
		return
	}
	if c.ticked.Sub(c.started) > joining {
		c.replaced = true
		return
	}
	c.table.change(c.self, func() {
		c.self.member.Started = e.member.Started + 1
		c.self.member.Version++
		c.self.shape = c.self.member.Version
	})
	c.changed(c.self, true, true)
}
