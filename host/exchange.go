package host

import (
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// Receive answers a ping. The pings it returns are to be sent besides.
func (c *Core) Receive(now cicadapitch.Instant, p Ping) (Ack, []Command) {
	wants := c.learn(now, p.Self, p.Loads, p.News, p.Records)
	ack := Ack{Digest: c.table.digest(), Count: c.table.alive, Want: wants}
	c.compare(p.Digest)
	if p.Buckets != nil {
		c.answerBuckets(&ack, p)
	}
	ack.Records = append(ack.Records, c.wanted(p.Want)...)
	statuses, records := c.takeNews(append(p.News, statusesOf(p.Records)...))
	ack.News = append(ack.News, statuses...)
	ack.Records = append(ack.Records, records...)
	if e := c.table.byRef[p.Self.Ref]; e != nil && e.health != Alive {
		// The sender may refute it at once.
		ack.News = append(ack.News, e.status())
	}
	ack.Self, ack.Loads = c.self.status(), c.self.loads()
	return ack, nil
}

// maxFollows bounds the pings that one exchange may lead to, so that two hosts
// that misunderstand each other cannot start a storm.
const maxFollows = 3

// Answered tells of the answer to a ping.
func (c *Core) Answered(now cicadapitch.Instant, cmd Command, a Ack) []Command {
	cmds := c.settle(now, cmd.ID, a)
	wants := c.learn(now, a.Self, a.Loads, a.News, a.Records)
	reply := c.replyTo(a, wants)
	if !c.compare(a.Digest) && c.mayCompare(now, a.Count) {
		reply.Buckets = slices.Clone(c.table.buckets[:])
	}
	if cmd.follows >= maxFollows || len(reply.Want)+len(reply.Records)+len(reply.News)+len(reply.Buckets) == 0 {
		return cmds
	}
	next := c.command(cmd.Address, probeTimeout)
	next.follows = cmd.follows + 1
	next.Ping.Want = reply.Want
	next.Ping.Buckets = reply.Buckets
	next.Ping.Records = append(next.Ping.Records, reply.Records...)
	next.Ping.News = append(next.Ping.News, reply.News...)
	return append(cmds, next)
}

// replyTo gathers what the answering host lacks and what this one lacks.
func (c *Core) replyTo(a Ack, wants []Ref) Ping {
	p := Ping{Want: wants, Records: c.wanted(a.Want)}
	if len(a.Buckets) == 0 {
		return p
	}
	theirs := lo.KeyBy(a.News, func(s Status) Ref { return s.Ref })
	for _, e := range c.table.list {
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

// learn takes over all of a message and returns the records that are needed to
// understand the rest.
func (c *Core) learn(now cicadapitch.Instant, self Status, l Loads, statuses []Status, records []Record) []Ref {
	for _, r := range records {
		c.learnRecord(now, r)
	}
	var wants []Ref
	for _, s := range append([]Status{self}, statuses...) {
		if !c.learnStatus(now, s) {
			wants = append(wants, s.Ref)
		}
	}
	if e := c.table.byRef[self.Ref]; e != nil && e != c.self {
		e.applyLoads(self.Shape, l)
	}
	return lo.Uniq(wants)
}

// maxWanted bounds the records sent for one question.
const maxWanted = 64

func (c *Core) wanted(refs []Ref) []Record {
	var records []Record
	for _, ref := range refs[:min(len(refs), maxWanted)] {
		if e := c.table.byRef[ref]; e != nil {
			records = append(records, e.record())
			c.spend(sizeOf(e, true))
		}
	}
	return records
}

// compare reports whether the other host knows the same.
func (c *Core) compare(digest uint64) bool {
	same := digest == c.table.digest()
	if same {
		c.news.agreed(c.table)
	}
	return same
}

// mayCompare bounds comparisons in time. Digests differ for a moment whenever
// something changes, and for longer while the news of it spread; a different
// count of hosts cannot wait.
func (c *Core) mayCompare(now cicadapitch.Instant, count int) bool {
	calm := now.Sub(c.changedAt) >= settling && len(c.news.items) == 0
	late := now.Sub(c.compareAt) >= spreading
	if now < c.compareAt || (count == c.table.alive && !calm && !late) {
		return false
	}
	c.compareAt = now.Add(compareInterval)
	return true
}

// answerBuckets sends everything to a host that knows few others, and else the
// statuses of some buckets that differ.
func (c *Core) answerBuckets(ack *Ack, p Ping) {
	if c.table.alive > 2*p.Count {
		ack.Records = c.whole()
		return
	}
	budget := min(c.allowance, compareBytes)
	first := c.rand.IntN(bucketCount)
	for i := range bucketCount {
		b := (first + i) % bucketCount
		if b >= len(p.Buckets) || p.Buckets[b] == c.table.buckets[b] {
			continue
		}
		ack.Buckets = append(ack.Buckets, b)
		ack.News = append(ack.News, c.inBucket(b)...)
		if cicadapitch.Bytes(len(ack.News))*statusBytes >= budget {
			break
		}
	}
	c.spend(cicadapitch.Bytes(len(ack.News)) * statusBytes)
}

func statusesOf(records []Record) []Status {
	return lo.Map(records, func(r Record, _ int) Status { return r.Status })
}

func (c *Core) inBucket(bucket int) []Status {
	var list []Status
	for _, e := range c.table.list {
		if bucketOf(e.ref) == bucket {
			list = append(list, e.status())
		}
	}
	return list
}

// whole returns as many records as the allowance lets, from a random one on.
func (c *Core) whole() []Record {
	var records []Record
	var used cicadapitch.Bytes
	budget := max(c.allowance, wholeTable)
	first := c.rand.IntN(len(c.table.list))
	for i := range c.table.list {
		e := c.table.list[(first+i)%len(c.table.list)]
		if e.health == Gone {
			continue
		}
		used += sizeOf(e, true)
		if used > budget {
			break
		}
		records = append(records, e.record())
	}
	c.spend(used)
	return records
}
