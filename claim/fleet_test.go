package claim_test

import (
	"context"
	"fmt"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	// tickStep is the time by which the virtual clock advances in each step.
	tickStep = 250 * cicadapitch.Millis(1)
	// maxHostsCheckedEach is the largest number of hosts at which the holders are
	// checked after the tick of each host, not only after those of all hosts.
	maxHostsCheckedEach = 10
	// heartbeatInterval is how often hosts send their records to each other.
	heartbeatInterval = cicadapitch.Second
	// suspectAfter is the time without a record after which a host is suspect.
	suspectAfter = 3 * cicadapitch.Second
)

// fleet runs the Managers of many hosts on one virtual clock, one host after another
// in a single goroutine.
type fleet struct {
	t       require.TestingT
	clock   *cicadapitch.ManualClock
	store   *standin.MemoryStore
	configs *configuration.Follower
	shards  []cicadapitch.ShardID
	hosts   []*host
	// slow delays the commands of each Step by a second.
	slow bool
}

// host is a simulated host. It wraps the store to inject faults into its calls.
type host struct {
	*standin.MemoryStore
	fleet  *fleet
	self   cicadapitch.Member
	claims *claim.Manager
	// storeCut disconnects the host from the store. isolated disconnects it from all
	// other hosts.
	storeCut, isolated bool
	// paused suspends the ticks of the host. A stopped host makes no more ticks and
	// does not count as a holder.
	paused, stopped bool
	// sentRecord is the latest record that this host sent, at heartbeatAt.
	sentRecord  cicadapitch.Member
	heartbeatAt cicadapitch.Instant
	// receivedRecords are the latest records received from the other hosts, and
	// receivedAt is when they were sent.
	receivedRecords map[cicadapitch.HostID]cicadapitch.Member
	receivedAt      map[cicadapitch.HostID]cicadapitch.Instant
	// gains and losses count the calls of the OnGain and OnLoss hooks.
	gains, losses int
	// loseAnswers is the number of commits whose answers will be lost.
	loseAnswers int
	// beforeCommit and afterCommit run once, before and after the next commit.
	beforeCommit, afterCommit func()
	// rejectCommits fails each commit with Unavailable.
	rejectCommits bool
	// delayed are commands that are executed at delayedUntil.
	delayed      []claim.Command
	delayedUntil cicadapitch.Instant
}

func (h *host) Self() cicadapitch.Member { return h.self }

// Members returns the host itself and the latest record received from each other
// host. A host whose record is older than suspectAfter is suspect. One whose record
// is older than four times that is left out.
func (h *host) Members() []cicadapitch.Member {
	list := []cicadapitch.Member{h.self}
	list[0].StoreUp = h.claims.StoreUp()
	for _, p := range h.fleet.hosts {
		if p == h {
			continue
		}
		if !h.isolated && !p.isolated {
			h.receivedRecords[p.self.Host] = p.sentRecord
			h.receivedAt[p.self.Host] = p.heartbeatAt
		}
		silence := h.fleet.clock.Now().Sub(h.receivedAt[p.self.Host])
		if silence > 4*suspectAfter {
			continue
		}
		m := h.receivedRecords[p.self.Host]
		if silence > suspectAfter {
			m.State = cicadapitch.Suspect
		}
		list = append(list, m)
	}
	return list
}

// storeError returns the error of a store call while storeCut is set.
func (h *host) storeError() error {
	if h.storeCut {
		return cicadapitch.NewError(cicadapitch.Unavailable, "cut", "wait")
	}
	return nil
}

func (h *host) List(ctx context.Context, prefix string) ([]cicadapitch.KeyValue, cicadapitch.StoreRevision, error) {
	if err := h.storeError(); err != nil {
		return nil, 0, err
	}
	return h.MemoryStore.List(ctx, prefix)
}

func (h *host) Commit(ctx context.Context, c []cicadapitch.Condition, w []cicadapitch.Write) (cicadapitch.StoreRevision, error) {
	if err := h.storeError(); err != nil {
		return 0, err
	}
	if h.rejectCommits {
		return 0, cicadapitch.NewError(cicadapitch.Unavailable, "refused", "wait")
	}
	if h.loseAnswers > 0 {
		h.loseAnswers--
		h.LoseAnswers(1)
	}
	runOnce(&h.beforeCommit)
	defer runOnce(&h.afterCommit)
	return h.MemoryStore.Commit(ctx, c, w)
}

// runOnce calls *f if it is set and clears it.
func runOnce(f *func()) {
	if run := *f; run != nil {
		*f = nil
		run()
	}
}

func (h *host) Grant(ctx context.Context, ttl cicadapitch.Millis) (cicadapitch.LeaseID, error) {
	if err := h.storeError(); err != nil {
		return 0, err
	}
	return h.MemoryStore.Grant(ctx, ttl)
}

func (h *host) Renew(ctx context.Context, id cicadapitch.LeaseID) (cicadapitch.Millis, error) {
	if err := h.storeError(); err != nil {
		return 0, err
	}
	return h.MemoryStore.Renew(ctx, id)
}

// newFleet returns a fleet of one region with hosts and shards spread over its zones.
func newFleet(t require.TestingT, hosts, zones, shards int) *fleet {
	f := &fleet{t: t, clock: cicadapitch.NewManualClock(1_000_000)}
	f.store = standin.NewMemoryStore(f.clock)
	f.configs = configuration.NewFollower(f.clock)
	cfg := &cicadapitch.Configuration{Revision: 1}
	for z := range zones {
		cfg.Zones = append(cfg.Zones, cicadapitch.Zone{ID: zone(z), Region: "north"})
	}
	for i := range shards {
		id := cicadapitch.ShardID(fmt.Sprintf("shard-%d", i))
		f.shards = append(f.shards, id)
		cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{Shard: id, Zone: zone(i % zones)})
	}
	for range hosts {
		h := f.start(zones)
		cfg.Hosts = append(cfg.Hosts, cicadapitch.HostSetting{ID: h.self.Host})
	}
	f.configs.InstallIfNewer(cfg)
	return f
}

func zone(i int) cicadapitch.ZoneID { return cicadapitch.ZoneID(fmt.Sprintf("zone-%d", i)) }

// start adds a ready host in one of the zones.
func (f *fleet) start(zones int) *host {
	n := len(f.hosts)
	h := &host{MemoryStore: f.store, fleet: f}
	h.receivedRecords = make(map[cicadapitch.HostID]cicadapitch.Member)
	h.receivedAt = make(map[cicadapitch.HostID]cicadapitch.Instant)
	h.self = cicadapitch.Member{
		Host:        cicadapitch.HostID(fmt.Sprintf("host-%d", n)),
		Zone:        zone(n % zones),
		Region:      "north",
		Incarnation: cicadapitch.Incarnation(n + 1),
		State:       cicadapitch.Ready,
	}
	h.claims = claim.New(h, h, f.configs, f.clock)
	h.claims.OnGain(func(cicadapitch.Claim) { h.gains++ })
	h.claims.OnLoss(func(cicadapitch.ShardID) { h.losses++ })
	f.hosts = append(f.hosts, h)
	return h
}

// run advances the clock by m and checks after each step that no shard has two holders.
func (f *fleet) run(m cicadapitch.Millis) {
	for ; m > 0; m -= tickStep {
		f.clock.Advance(tickStep)
		f.sendHeartbeats()
		for _, h := range f.hosts {
			if h.paused || h.stopped {
				continue
			}
			f.tick(h)
			if len(f.hosts) <= maxHostsCheckedEach {
				f.requireSingleHolders()
			}
		}
		f.requireSingleHolders()
	}
}

func (f *fleet) requireSingleHolders() {
	require.Empty(f.t, f.doublyOwned(), "two hosts hold a shard")
}

// tick runs the due delayed commands of a host and, every 500 ms, its Step.
func (f *fleet) tick(h *host) {
	now := f.clock.Now()
	if len(h.delayed) > 0 && now >= h.delayedUntil {
		delayed := h.delayed
		h.delayed = nil
		h.execute(delayed)
	}
	if now%(2*cicadapitch.Instant(tickStep)) == 0 {
		cmds := h.claims.Step()
		if f.slow && len(h.delayed) == 0 {
			h.delayed, h.delayedUntil = cmds, now.Add(cicadapitch.Second)
			return
		}
		h.execute(cmds)
	}
}

func (h *host) execute(cmds []claim.Command) {
	for _, c := range cmds {
		h.claims.Execute(context.Background(), c)
	}
}

// sendHeartbeats updates the sent record of each running host every heartbeatInterval.
func (f *fleet) sendHeartbeats() {
	if f.clock.Now()%cicadapitch.Instant(heartbeatInterval) != 0 {
		return
	}
	for _, h := range f.hosts {
		if h.paused || h.stopped {
			continue
		}
		h.heartbeatAt = f.clock.Now()
		h.sentRecord = h.self
		h.sentRecord.Claims = h.claims.Owned()
		h.sentRecord.StoreUp = h.claims.StoreUp()
	}
}

// holders returns the hosts that hold each shard.
func (f *fleet) holders() map[cicadapitch.ShardID][]*host {
	holders := make(map[cicadapitch.ShardID][]*host)
	for _, h := range f.hosts {
		if h.stopped {
			continue
		}
		for _, c := range h.claims.Owned() {
			holders[c.Shard] = append(holders[c.Shard], h)
		}
	}
	return holders
}

// doublyOwned returns the shards with more than one holder.
func (f *fleet) doublyOwned() []cicadapitch.ShardID {
	var list []cicadapitch.ShardID
	for shard, hosts := range f.holders() {
		if len(hosts) > 1 {
			list = append(list, shard)
		}
	}
	return list
}

// waitForOwners runs the fleet until every shard has a holder and returns the time
// that this took. It fails if that is longer than limit.
func (f *fleet) waitForOwners(limit cicadapitch.Millis) cicadapitch.Millis {
	start := f.clock.Now()
	for len(f.holders()) < len(f.shards) {
		f.run(tickStep)
		require.LessOrEqual(f.t, f.clock.Now().Sub(start), limit, "%d of %d shards are held", len(f.holders()), len(f.shards))
	}
	return f.clock.Now().Sub(start)
}
