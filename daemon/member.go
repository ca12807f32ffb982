package daemon

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// memberUpdateInterval is the time between two updates of the host's own member
// record, in milliseconds.
const memberUpdateInterval cicadapitch.Millis = 100

// updateMemberPeriodically updates the host's own member record and
// acceptsCallers every memberUpdateInterval until ctx ends.
func (d *Daemon) updateMemberPeriodically(ctx context.Context) {
	for d.clock.Sleep(ctx, memberUpdateInterval) == nil {
		d.updateMember()
		d.updateAcceptsCallers(d.follower.Current())
	}
}

// allShardsOwnedTimeout is the longest time that a ready host waits until all
// shards have an owner before it accepts callers. The wait is bounded because
// shards can stay without an owner for long: while the store is down, or until hosts
// of other regions take over the shards of a region without hosts.
const allShardsOwnedTimeout cicadapitch.Millis = 10 * cicadapitch.Second

// updateAcceptsCallers sets acceptsCallers once the host is ready and every shard
// has an owner, or after allShardsOwnedTimeout. Without the wait, a fleet that has
// just started would refuse requests because their shards have no owner yet.
func (d *Daemon) updateAcceptsCallers(cfg *cicadapitch.Configuration) {
	if d.acceptsCallers.Load() || cfg == nil || d.group.Self().State != cicadapitch.Ready {
		return
	}
	now := d.clock.Now()
	if d.readySince == 0 {
		d.readySince = now
	}
	if now.Sub(d.readySince) >= allShardsOwnedTimeout || allShardsOwned(cfg, d.group.Members()) {
		d.acceptsCallers.Store(true)
	}
}

// allShardsOwned reports whether each shard of cfg is claimed by a member.
func allShardsOwned(cfg *cicadapitch.Configuration, members []cicadapitch.Member) bool {
	owned := make(map[cicadapitch.ShardID]bool)
	for _, m := range members {
		for _, c := range m.Claims {
			owned[c.Shard] = true
		}
	}
	return lo.EveryBy(cfg.Shards(), func(s cicadapitch.Shard) bool { return owned[s.ID] })
}

// updateMember writes the present state of the roles to the host's own member
// record and sets a Starting host to Ready once its configuration is confirmed.
func (d *Daemon) updateMember() {
	claims := d.claims.Owned()
	for i := range claims {
		claims[i].Load = d.owner.Load(claims[i].Shard)
	}
	cfg := d.follower.Current()
	confirmed := d.follower.Confirmed()
	storeUp := d.claims.StoreUp()
	running := d.entry.Running()
	d.group.Update(func(m *cicadapitch.Member) {
		m.Claims = claims
		m.Running = running
		m.StoreUp = storeUp
		if cfg == nil {
			return
		}
		m.Revision = cfg.Revision
		// A host becomes Ready only with a configuration that its peers or the
		// store have confirmed.
		if m.State == cicadapitch.Starting && confirmed {
			m.State = cicadapitch.Ready
		}
	})
}
