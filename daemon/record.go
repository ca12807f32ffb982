package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// recordInterval is the span between two readings of the host's own state.
const recordInterval cicadapitch.Millis = 100

// keepRecord keeps the host's own record in the membership up to date.
func (d *Daemon) keepRecord(ctx context.Context) {
	for d.clock.Sleep(ctx, recordInterval) == nil {
		d.record()
	}
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
