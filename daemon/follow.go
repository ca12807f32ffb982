package daemon

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

const (
	configurationKey                       = "configuration/current"
	followInterval      cicadapitch.Millis = 500
)

// followStore reads the configuration from the store again and again.
func (d *Daemon) followStore(ctx context.Context) {
	for {
		d.readConfiguration(ctx)
		if d.clock.Sleep(ctx, followInterval) != nil {
			return
		}
	}
}

func (d *Daemon) readConfiguration(ctx context.Context) {
	pair, err := d.store.Get(ctx, configurationKey)
	if err != nil {
		return
	}
	cfg := new(cicadapitch.Configuration)
	if cbor.Unmarshal(pair.Value, cfg) == nil {
		d.follower.Offer(cfg)
	}
}
