package daemon

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// recordInterval is the span between two readings of the host's own state.
const recordInterval cicadapitch.Millis = 100

// keepRecord keeps the host's own record in the membership up to date.
func (d *Daemon) keepRecord(ctx context.Context) {
	for d.clock.Sleep(ctx, recordInterval) == nil {
		d.record()
		d.settle(d.follower.Current())
	}
}

// settleTimeout bounds how long a ready host waits for all shards to have an
// owner before it takes callers, since a pool may have none for long.
const settleTimeout cicadapitch.Millis = 10 * cicadapitch.Second

// settle notes once that every shard has an owner. In a fleet that has just
// started, requests would otherwise be refused for want of owners.
func (d *Daemon) settle(cfg *cicadapitch.Configuration) {
	if d.settled.Load() || cfg == nil || d.group.Self().State != cicadapitch.Ready {
		return
	}
	now := d.clock.Now()
	if d.readySince == 0 {
		d.readySince = now
	}
	if now.Sub(d.readySince) >= settleTimeout || allOwned(cfg, d.group.Members()) {
		d.settled.Store(true)
	}
}

func allOwned(cfg *cicadapitch.Configuration, members []cicadapitch.Member) bool {
	owned := make(map[cicadapitch.ShardID]bool)
	for _, m := range members {
		for _, c := range m.Claims {
			owned[c.Shard] = true
		}
	}
	return lo.EveryBy(cfg.Shards(), func(s cicadapitch.Shard) bool { return owned[s.ID] })
}

func (d *Daemon) record() {
	owned := d.claims.Owned()
	for i := range owned {
		owned[i].Load = d.owner.Load(owned[i].Shard)
	}
	cfg := d.follower.Current()
	confirmed := d.follower.Confirmed()
	storeUp := d.claims.StoreUp()
	running := d.entry.Running()
	d.group.Update(func(m *cicadapitch.Member) {
		m.Claims = owned
		m.Running = running
		m.StoreUp = storeUp
		if cfg == nil {
			return
		}
		m.Revision = cfg.Revision
		// A host takes callers only with a configuration that its peers or
		// the store have confirmed.
		if m.State == cicadapitch.Starting && confirmed {
			m.State = cicadapitch.Ready
		}
	})
}
