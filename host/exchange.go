package host

import (
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// HandlePing answers a ping. The pings it returns are to be sent besides.
func (c *Core) HandlePing(now cicadapitch.Instant, p Ping) (Ack, []Command) {
	missing := c.merge(now, p.Self, p.Loads, p.News, p.Records)
	ack := Ack{Digest: c.table.digest(), Count: c.table.alive, Want: missing}
	c.compareDigest(p.Digest)
	if p.Buckets != nil {
		c.addBucketDifferences(&ack, p)
	}
	ack.Records = append(ack.Records, c.requestedRecords(p.Want)...)
	statuses, records := c.takeUpdates(append(p.News, statusesOf(p.Records)...))
	ack.News = append(ack.News, statuses...)
	ack.Records = append(ack.Records, records...)
	if e := c.table.byRef[p.Self.Ref]; e != nil && e.health != Alive {
		// The sender may refute it at once.
		ack.News = append(ack.News, e.status())
	}
	ack.Self, ack.Loads = c.self.status(), c.self.loads()
	return ack, nil
}

// maxFollowUps bounds the pings that one exchange may lead to, so that two hosts
// that misunderstand each other cannot start a storm.
const maxFollowUps = 3

// HandleAck tells of the answer to a ping.
func (c *Core) HandleAck(now cicadapitch.Instant, cmd Command, a Ack) []Command {
	cmds := c.completeProbe(now, cmd.ID, a)
	missing := c.merge(now, a.Self, a.Loads, a.News, a.Records)
	reply := c.followUpPing(a, missing)
	if !c.compareDigest(a.Digest) && c.startComparison(now, a.Count) {
		reply.Buckets = slices.Clone(c.table.buckets[:])
	}
	if cmd.followUps >= maxFollowUps || len(reply.Want)+len(reply.Records)+len(reply.News)+len(reply.Buckets) == 0 {
		return cmds
	}
	followUp := c.command(cmd.Address, probeTimeout)
	followUp.followUps = cmd.followUps + 1
	followUp.Ping.Want = reply.Want
	followUp.Ping.Buckets = reply.Buckets
	followUp.Ping.Records = append(followUp.Ping.Records, reply.Records...)
	followUp.Ping.News = append(followUp.Ping.News, reply.News...)
	return append(cmds, followUp)
}

// followUpPing gathers what the answering host lacks and what this one lacks.
func (c *Core) followUpPing(a Ack, missing []Ref) Ping {
	p := Ping{Want: missing, Records: c.requestedRecords(a.Want)}
	if len(a.Buckets) == 0 {
		return p
	}
	theirs := lo.KeyBy(a.News, func(s Status) Ref { return s.Ref })
	for _, e := range c.table.entries {
		if !slices.Contains(a.Buckets, bucketOf(e.ref)) {
			continue
		}
		s, ok := theirs[e.ref]
		switch {
		case !ok && e.health != Gone, ok && s.Shape != e.shape && s.Version < e.member.Version:
			p.Records = append(p.Records, e.record())
		case ok && s.Version < e.member.Version:
			p.News = append(p.News, e.status())
		}
	}
	return p
}

// merge takes over all of a message and returns the records that are needed to
// understand the rest.
func (c *Core) merge(now cicadapitch.Instant, self Status, loads Loads, statuses []Status, records []Record) []Ref {
	for _, r := range records {
		c.mergeRecord(now, r)
	}
	var missing []Ref
	for _, s := range append([]Status{self}, statuses...) {
		if !c.mergeStatus(now, s) {
			missing = append(missing, s.Ref)
		}
	}
	if e := c.table.byRef[self.Ref]; e != nil && e != c.self {
		e.applyLoads(self.Shape, loads)
	}
	return lo.Uniq(missing)
}

// maxRequestedRecords bounds the records sent for one question.
const maxRequestedRecords = 64

func (c *Core) requestedRecords(refs []Ref) []Record {
	var records []Record
	for _, ref := range refs[:min(len(refs), maxRequestedRecords)] {
		if e := c.table.byRef[ref]; e != nil {
			records = append(records, e.record())
			c.spendBudget(sizeOf(e, true))
		}
	}
	return records
}

// compareDigest reports whether the other host knows the same.
func (c *Core) compareDigest(digest uint64) bool {
	same := digest == c.table.digest()
	if same {
		c.updates.countAsSent(c.table)
	}
	return same
}

// startComparison bounds comparisons in time. Digests differ for a moment whenever
// something changes, and for longer while the news of it spread; a different
// count of hosts cannot wait.
func (c *Core) startComparison(now cicadapitch.Instant, count int) bool {
	quiet := now.Sub(c.lastChange) >= quietPeriod && len(c.updates.pending) == 0
	overdue := now.Sub(c.compareAt) >= maxComparisonDelay
	if now < c.compareAt || (count == c.table.alive && !quiet && !overdue) {
		return false
	}
	c.compareAt = now.Add(comparisonInterval)
	return true
}

// addBucketDifferences sends everything to a host that knows few others, and else the
// statuses of some buckets that differ.
func (c *Core) addBucketDifferences(ack *Ack, p Ping) {
	if c.table.alive > 2*p.Count {
		ack.Records = c.tableRecords()
		return
	}
	budget := min(c.byteBudget, maxComparisonBytes)
	first := c.rand.IntN(bucketCount)
	for i := range bucketCount {
		b := (first + i) % bucketCount
		if b >= len(p.Buckets) || p.Buckets[b] == c.table.buckets[b] {
			continue
		}
		ack.Buckets = append(ack.Buckets, b)
		ack.News = append(ack.News, c.statusesInBucket(b)...)
		if cicadapitch.Bytes(len(ack.News))*statusBytes >= budget {
			break
		}
	}
	c.spendBudget(cicadapitch.Bytes(len(ack.News)) * statusBytes)
}

func statusesOf(records []Record) []Status {
	return lo.Map(records, func(r Record, _ int) Status { return r.Status })
}

func (c *Core) statusesInBucket(bucket int) []Status {
	var list []Status
	for _, e := range c.table.entries {
		if bucketOf(e.ref) == bucket {
			list = append(list, e.status())
		}
	}
	return list
}

// tableRecords returns as many records as the allowance lets, from a random one on.
func (c *Core) tableRecords() []Record {
	var records []Record
	var used cicadapitch.Bytes
	budget := max(c.byteBudget, minTableBytes)
	first := c.rand.IntN(len(c.table.entries))
	for i := range c.table.entries {
		e := c.table.entries[(first+i)%len(c.table.entries)]
		if e.health == Gone {
			continue
		}
		used += sizeOf(e, true)
		if used > budget {
			break
		}
		records = append(records, e.record())
	}
	c.spendBudget(used)
	return records
}
