package host

import (
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// Command requests that Ping is sent to Address, which is ip:port, within
// Timeout. The caller passes an answer to Core.HandleAck, and a failure with the
// ID to Core.HandleFailure.
type Command struct {
	ID      uint64
	Address string
	Ping    Ping
	Timeout cicadapitch.Millis
	// followUps is the number of exchanges before this ping that led to it.
	followUps int
}

// Core is the state machine of the membership protocol. It performs no I/O: its
// methods take events with the current time and return the pings to send. A
// Core is not safe for concurrent use.
type Core struct {
	self    *entry
	table   *table
	updates updateQueue
	rand    *rand.Rand
	seeds   []string

	// probeOrder holds the targets of direct probes in random order, and
	// probePosition the index of the next target. probeCount counts the direct
	// probes.
	probeOrder    []Ref
	probePosition int
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
	// byteBudget is the token bucket for updates: the bytes that may be sent
	// now.
	byteBudget cicadapitch.Bytes
	// pushPending is true while urgent updates wait for a push.
	pushPending bool
	// replaced is true once a later process is known to run under this host id.
	replaced bool
	// changes counts the changes of the table, except those of loads.
	changes uint64
}

// NewCore returns a core whose only member is self. It joins others through
// seeds, which are ip:port. seed is the seed of its random numbers.
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
	// A random delay keeps hosts that start together from probing at the same
	// time.
	c.probeAt = now.Add(cicadapitch.Millis(c.rand.Int64N(int64(probeInterval))))
	c.table.put(e)
	return c
}

// Self returns the record of this host.
func (c *Core) Self() cicadapitch.Member { return c.self.memberView() }

// Members returns the known hosts that are not Gone, this host included, ordered
// by host id.
func (c *Core) Members() []cicadapitch.Member { return c.table.liveMembers() }

// Changes returns the number of changes of members so far, except those of
// loads.
func (c *Core) Changes() uint64 { return c.changes }

// Replaced reports whether a later process is known to run under this host id.
func (c *Core) Replaced() bool { return c.replaced }

// SetSeeds replaces the seed addresses, which are ip:port.
func (c *Core) SetSeeds(addresses []string) { c.seeds = slices.Clone(addresses) }

// Update applies change to the record of this host. It returns pings that push a
// new State or a higher Revision at once; other changes are sent with later
// pings. Changes of Host, Incarnation, Started and the versions are ignored.
func (c *Core) Update(change func(*cicadapitch.Member)) []Command {
	before := c.self.member
	after := before
	after.Claims = slices.Clone(before.Claims)
	change(&after)
	after.Host, after.Incarnation, after.Started = before.Host, before.Incarnation, before.Started
	after.Version, after.LoadVersion = before.Version, before.LoadVersion+1
	statusChanged, recordChanged := changedParts(before, after)
	if !statusChanged && !recordChanged {
		c.self.member = after
		return nil
	}
	c.table.update(c.self, func() {
		after.Version++
		c.self.member = after
		if recordChanged {
			c.self.shape = after.Version
		}
	})
	c.changes++
	c.updates.add(update{ref: c.self.ref, full: recordChanged, urgent: after.State != before.State})
	if after.State == before.State && after.Revision <= before.Revision {
		return nil
	}
	return c.pushUpdates()
}

// changedParts reports whether fields of Status differ, and whether fields that only a
// Record holds differ.
func changedParts(a, b cicadapitch.Member) (statusChanged, recordChanged bool) {
	statusChanged = a.State != b.State || a.Revision != b.Revision || a.StoreUp != b.StoreUp
	recordChanged = a.Zone != b.Zone || a.Region != b.Region || a.PeerAddress != b.PeerAddress ||
		a.CallerURL != b.CallerURL || !slices.EqualFunc(a.Claims, b.Claims, sameClaim)
	return statusChanged, recordChanged
}

func sameClaim(a, b cicadapitch.Claim) bool {
	return a.Shard == b.Shard && a.Fencing == b.Fencing
}

// Tick runs the timers that are due at now and returns the pings to send. It must
// be called every tickInterval, which is 100 ms.
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
	// While the byte budget is too low for a push, probes carry the urgent
	// updates.
	if c.pushPending && c.byteBudget >= fanout*maxUpdateBytes {
		cmds = append(cmds, c.pushUpdates()...)
	}
	return cmds
}

// resumeAfterPause handles a long gap between two ticks, in which this process
// was paused and could not receive answers. It drops the pending probes and
// extends the suspicions by the gap.
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

// refillBudget adds the bytes gained since the last tick to the byte budget.
func (c *Core) refillBudget(now cicadapitch.Instant) {
	gained := cicadapitch.Bytes(now.Sub(c.lastTick)) * updateBytesPerSecond / cicadapitch.Bytes(cicadapitch.Second)
	c.byteBudget = min(c.byteBudget+gained, updateBurstBytes)
}

// newPing returns the command for a ping with the status and loads of this host, its
// digest and pending updates. It counts the updates as sent and charges them to the
// byte budget.
func (c *Core) newPing(address string, timeout cicadapitch.Millis) Command {
	c.lastCommandID++
	p := Ping{Self: c.self.status(), Loads: c.self.loads(), Digest: c.table.digest(), Count: c.table.notGone}
	p.News, p.Records = c.takeUpdates(nil)
	return Command{ID: c.lastCommandID, Address: address, Ping: p, Timeout: timeout}
}

// takeUpdates returns the updates for one message and charges them to the byte
// budget. Updates that the receiver has in known are left out.
func (c *Core) takeUpdates(known []Status) ([]Status, []Record) {
	budget := max(min(c.byteBudget, maxUpdateBytes), minUpdateBytes)
	statuses, records, used := c.updates.take(c.table, budget, known)
	c.spendBudget(used)
	return statuses, records
}

func (c *Core) spendBudget(n cicadapitch.Bytes) { c.byteBudget = max(c.byteBudget-n, 0) }

// announce counts a change of e and queues it for other hosts: the record if full
// is true, the status otherwise. Urgent changes also request a push.
func (c *Core) announce(e *entry, full, urgent bool) {
	c.changes++
	c.lastChange = c.lastTick
	c.updates.add(update{ref: e.ref, full: full, urgent: urgent})
	c.pushPending = c.pushPending || urgent
}
