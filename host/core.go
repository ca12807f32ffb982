package host

import (
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// Command asks for a ping to be sent. Its outcome is told to Core.Answered or
// Core.Failed under the same ID.
type Command struct {
	ID      uint64
	Address string
	Ping    Ping
	Timeout cicadapitch.Millis
	// followUps counts the exchanges that led to this ping.
	followUps int
}

// Core decides about the membership. It performs no I/O: each method takes the
// instant and what has happened, and returns the pings to send. It is not safe
// for concurrent use.
type Core struct {
	self    *entry
	table   *table
	updates updateQueue
	rand    *rand.Rand
	seeds   []string

	// probeRing is the order of the direct probes, next its position, and rounds
	// counts the probes.
	probeRing     []Ref
	ringPosition  int
	probeCount    int
	probes        map[uint64]*probe
	lastCommandID uint64

	started     cicadapitch.Instant
	lastTick    cicadapitch.Instant
	probeAt     cicadapitch.Instant
	reconnectAt cicadapitch.Instant
	compareAt   cicadapitch.Instant
	lastChange  cicadapitch.Instant
	evictAt     cicadapitch.Instant
	// byteBudget is what news may be sent now.
	byteBudget cicadapitch.Bytes
	// pushPending is true while something waits to be pushed.
	pushPending bool
	// replaced is true once a later process runs under the same host id.
	replaced bool
	// changes counts the changes of the table, loads apart.
	changes uint64
}

// NewCore returns the core of a host that knows only itself and addresses to
// begin with.
func NewCore(self cicadapitch.Member, seeds []string, seed uint64, now cicadapitch.Instant) *Core {
	self.Started = max(self.Started, now)
	self.Version = max(self.Version, 1)
	e := &entry{ref: refOf(self), member: self, shape: self.Version}
	c := &Core{
		self:       e,
		table:      newTable(),
		rand:       rand.New(rand.NewPCG(seed, xxh3.HashString(string(self.Host)))),
		seeds:      slices.Clone(seeds),
		probes:     make(map[uint64]*probe),
		started:    now,
		lastTick:   now,
		byteBudget: updateBurstBytes,
	}
	// Hosts that start together must not probe in step.
	c.probeAt = now.Add(cicadapitch.Millis(c.rand.Int64N(int64(probeInterval))))
	c.table.put(e)
	return c
}

// Self returns the own record.
func (c *Core) Self() cicadapitch.Member { return c.self.memberView() }

// Members returns all known hosts that are not dead, this one included.
func (c *Core) Members() []cicadapitch.Member { return c.table.liveMembers() }

// Changes counts the changes of the members, those of loads apart.
func (c *Core) Changes() uint64 { return c.changes }

// Replaced reports whether a later process runs under the same host id.
func (c *Core) Replaced() bool { return c.replaced }

// SetSeeds replaces the addresses to begin with.
func (c *Core) SetSeeds(addresses []string) { c.seeds = slices.Clone(addresses) }

// Update changes the own record. Host, Incarnation, Started and the versions
// are not the caller's to change.
func (c *Core) Update(change func(*cicadapitch.Member)) []Command {
	before := c.self.member
	after := before
	after.Claims = slices.Clone(before.Claims)
	change(&after)
	after.Host, after.Incarnation, after.Started = before.Host, before.Incarnation, before.Started
	after.Version, after.LoadVersion = before.Version, before.LoadVersion+1
	status, shape := changedParts(before, after)
	if !status && !shape {
		c.self.member = after
		return nil
	}
	c.table.update(c.self, func() {
		after.Version++
		c.self.member = after
		if shape {
			c.self.shape = after.Version
		}
	})
	c.changes++
	c.updates.add(update{ref: c.self.ref, full: shape, urgent: after.State != before.State})
	if after.State == before.State && after.Revision <= before.Revision {
		return nil
	}
	return c.pushUpdates()
}

// changedParts tells whether the status or anything else but loads has changed.
func changedParts(a, b cicadapitch.Member) (status, shape bool) {
	status = a.State != b.State || a.Revision != b.Revision || a.StoreUp != b.StoreUp
	shape = a.Zone != b.Zone || a.Region != b.Region || a.PeerAddress != b.PeerAddress ||
		a.CallerURL != b.CallerURL || !slices.EqualFunc(a.Claims, b.Claims, sameClaim)
	return status, shape
}

func sameClaim(a, b cicadapitch.Claim) bool {
	return a.Shard == b.Shard && a.Fencing == b.Fencing
}

// Tick advances the core's timers. It is to be called every 100 ms.
func (c *Core) Tick(now cicadapitch.Instant) []Command {
	c.resumeAfterPause(now)
	c.refillBudget(now)
	c.lastTick = now
	cmds := c.expireProbes(now)
	c.expireSuspicions(now)
	if now >= c.evictAt {
		c.evictAt = now.Add(evictInterval)
		c.table.evictExpired(now)
	}
	if now >= c.probeAt {
		c.probeAt = c.probeAt.Add(probeInterval)
		cmds = append(cmds, c.probeNext(now)...)
	}
	if now >= c.reconnectAt {
		cmds = append(cmds, c.reconnect(now)...)
	}
	// Without an allowance the probes carry what is urgent.
	if c.pushPending && c.byteBudget >= fanout*maxUpdateBytes {
		cmds = append(cmds, c.pushUpdates()...)
	}
	return cmds
}

// resumeAfterPause drops what a paused process cannot judge.
func (c *Core) resumeAfterPause(now cicadapitch.Instant) {
	gap := now.Sub(c.lastTick)
	if gap < pauseThreshold {
		return
	}
	clear(c.probes)
	c.probeAt = now
	for _, e := range c.table.entries {
		if e.health == Suspected {
			e.expiresAt = e.expiresAt.Add(gap)
		}
	}
}

func (c *Core) refillBudget(now cicadapitch.Instant) {
	gained := cicadapitch.Bytes(now.Sub(c.lastTick)) * updateBytesPerSecond / cicadapitch.Bytes(cicadapitch.Second)
	c.byteBudget = min(c.byteBudget+gained, updateBurstBytes)
}

// command makes a command that carries news.
func (c *Core) command(address string, timeout cicadapitch.Millis) Command {
	c.lastCommandID++
	p := Ping{Self: c.self.status(), Loads: c.self.loads(), Digest: c.table.digest(), Count: c.table.alive}
	p.News, p.Records = c.takeUpdates(nil)
	return Command{ID: c.lastCommandID, Address: address, Ping: p, Timeout: timeout}
}

func (c *Core) takeUpdates(known []Status) ([]Status, []Record) {
	budget := max(min(c.byteBudget, maxUpdateBytes), minUpdateBytes)
	statuses, records, used := c.updates.take(c.table, budget, known)
	c.spendBudget(used)
	return statuses, records
}

func (c *Core) spendBudget(n cicadapitch.Bytes) { c.byteBudget = max(c.byteBudget-n, 0) }

// changed passes on a change of another host's entry.
func (c *Core) announce(e *entry, full, urgent bool) {
	c.changes++
	c.lastChange = c.lastTick
	c.updates.add(update{ref: e.ref, full: full, urgent: urgent})
	c.pushPending = c.pushPending || urgent
}
