package host

import (
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// HandlePing merges the contents of p into the table and returns the answer to p. The
// returned commands are always nil.
func (c *Core) HandlePing(now cicadapitch.Instant, p Ping) (Ack, []Command) {
	missing := c.merge(now, p.Self, p.Loads, p.News, p.Records)
	ack := Ack{Digest: c.table.digest(), Count: c.table.notGone, Want: missing}
	c.countSentIfEqual(p.Digest)
	if p.Buckets != nil {
		c.addBucketDifferences(&ack, p)
	}
	ack.Records = append(ack.Records, c.requestedRecords(p.Want)...)
	statuses, records := c.takeUpdates(append(p.News, statusesOf(p.Records)...))
	ack.News = append(ack.News, statuses...)
	ack.Records = append(ack.Records, records...)
	if e := c.table.byRef[p.Self.Ref]; e != nil && e.health != Alive {
		// Tell the sender that this host suspects it or counts it as Gone, so that
		// it can refute that at once.
		ack.News = append(ack.News, e.status())
	}
	ack.Self, ack.Loads = c.self.status(), c.self.loads()
	return ack, nil
}

// maxFollowUps bounds the chain of pings that one exchange may lead to, so that
// two hosts that do not understand each other cannot ping without end.
const maxFollowUps = 3

// HandleAck completes the probe of cmd, merges the contents of its answer a into
// the table and returns the pings to send. One of them may follow up on the
// answer with records that either host lacks.
func (c *Core) HandleAck(now cicadapitch.Instant, cmd Command, a Ack) []Command {
	cmds := c.completeProbe(now, cmd.ID, a)
	missing := c.merge(now, a.Self, a.Loads, a.News, a.Records)
	reply := c.followUpPing(a, missing)
	if !c.countSentIfEqual(a.Digest) && c.comparisonDue(now, a.Count) {
		reply.Buckets = slices.Clone(c.table.buckets[:])
	}
	if cmd.followUps >= maxFollowUps || len(reply.Want)+len(reply.Records)+len(reply.News)+len(reply.Buckets) == 0 {
		return cmds
	}
	followUp := c.newPing(cmd.Address, probeTimeout)
	followUp.followUps = cmd.followUps + 1
	followUp.Ping.Want = reply.Want
	followUp.Ping.Buckets = reply.Buckets
	followUp.Ping.Records = append(followUp.Ping.Records, reply.Records...)
	followUp.Ping.News = append(followUp.Ping.News, reply.News...)
	return append(cmds, followUp)
}

// followUpPing returns a ping that requests the missing records. It holds the
// records that a requests and, for the buckets in a, what the sender of a lacks
// or has in an older version.
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

// merge applies the contents of a message to the table. It returns the references
// of the hosts whose statuses cannot be applied without their records.
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

// maxRequestedRecords bounds the records sent on one request.
const maxRequestedRecords = 64

// requestedRecords returns the records of those of the first maxRequestedRecords
// refs that are in the table.
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

// countSentIfEqual reports whether digest equals the digest of the own table. If so,
// it counts the pending updates as sent to the other host.
func (c *Core) countSentIfEqual(digest uint64) bool {
	same := digest == c.table.digest()
	if same {
		c.updates.countAsSent(c.table)
	}
	return same
}

// comparisonDue reports whether to start a comparison of buckets now, and if so delays
// the next one by comparisonInterval. Digests differ while updates spread, so a
// comparison waits until the updates have spread, at most maxComparisonDelay. It does not
// wait if the other host counts more or fewer hosts.
func (c *Core) comparisonDue(now cicadapitch.Instant, count int) bool {
	quiet := now.Sub(c.lastChange) >= quietPeriod && len(c.updates.pending) == 0
	overdue := now.Sub(c.compareAt) >= maxComparisonDelay
	if now < c.compareAt || (count == c.table.notGone && !quiet && !overdue) {
		return false
	}
	c.compareAt = now.Add(comparisonInterval)
	return true
}

// addBucketDifferences adds to ack the statuses in buckets that differ from those
// of p, from a random bucket on and up to a limit in bytes. A sender that knows
// less than half of the hosts gets records of the table instead.
func (c *Core) addBucketDifferences(ack *Ack, p Ping) {
	if c.table.notGone > 2*p.Count {
		ack.Records = c.tableRecords()
		return
	}
	budget := min(c.byteBudget, maxComparisonBytes)
	first := c.rand.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (first + i) % bucketCount
		if bucket >= len(p.Buckets) || p.Buckets[bucket] == c.table.buckets[bucket] {
			continue
		}
		ack.Buckets = append(ack.Buckets, bucket)
		ack.News = append(ack.News, c.statusesInBucket(bucket)...)
		if cicadapitch.Bytes(len(ack.News))*statusBytes >= budget {
			break
		}
	}
	c.spendBudget(cicadapitch.Bytes(len(ack.News)) * statusBytes)
}

func statusesOf(records []Record) []Status {
	return lo.Map(records, func(r Record, _ int) Status { return r.Status })
}

// statusesInBucket returns the statuses of all entries in a bucket.
func (c *Core) statusesInBucket(bucket int) []Status {
	var list []Status
	for _, e := range c.table.entries {
		if bucketOf(e.ref) == bucket {
			list = append(list, e.status())
		}
	}
	return list
}

// tableRecords returns the records of hosts that are not Gone, from a random one
// on, as many as the byte budget allows.
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
