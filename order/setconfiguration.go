package order

import (
	"fmt"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// SetConfiguration replaces the whole configuration. The mutation returns a Conflict
// error if base is no longer the current revision. It keeps the Out fields of the
// current configuration: only the orders for zones, hosts, endpoints and customers
// change them, so that applying revised questionnaire answers never brings an
// element back into service.
func SetConfiguration(base cicadapitch.Revision, next cicadapitch.Configuration) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		if cfg.Revision != base {
			return cicadapitch.NewError(cicadapitch.Conflict,
				fmt.Sprintf("the configuration has moved from revision %d to %d", base, cfg.Revision),
				"compare again with: cicadapitch configuration diff, then apply on the new base")
		}
		merged := next
		merged.Revision = cfg.Revision
		merged.Change = cfg.Change
		keepOutOfService(cfg, &merged)
		markOrdered(cfg, &merged)
		*cfg = merged
		return nil
	}
}

// keepOutOfService copies the Out fields of before to after. It replaces the lists
// of after instead of changing them in place, because they are shared with the
// caller's configuration and a mutation may run again.
func keepOutOfService(before, after *cicadapitch.Configuration) {
	zones := lo.KeyBy(before.Zones, func(z cicadapitch.Zone) cicadapitch.ZoneID { return z.ID })
	after.Zones = lo.Map(after.Zones, func(z cicadapitch.Zone, _ int) cicadapitch.Zone {
		z.Out = zones[z.ID].Out
		return z
	})
	hosts := lo.KeyBy(before.Hosts, func(h cicadapitch.HostSetting) cicadapitch.HostID { return h.ID })
	after.Hosts = lo.Map(after.Hosts, func(h cicadapitch.HostSetting, _ int) cicadapitch.HostSetting {
		h.Out = hosts[h.ID].Out
		return h
	})
	endpoints := lo.KeyBy(before.Endpoints, func(e cicadapitch.Endpoint) cicadapitch.EndpointID { return e.ID })
	after.Endpoints = lo.Map(after.Endpoints, func(e cicadapitch.Endpoint, _ int) cicadapitch.Endpoint {
		e.Out = endpoints[e.ID].Out
		return e
	})
	customers := lo.KeyBy(before.Customers, func(c cicadapitch.Customer) cicadapitch.CustomerID { return c.ID })
	after.Customers = lo.Map(after.Customers, func(c cicadapitch.Customer, _ int) cicadapitch.Customer {
		c.Out = customers[c.ID].Out
		return c
	})
}
