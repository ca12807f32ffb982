package order

import (
	"fmt"
	"slices"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// SetZoneOut takes a zone out of service or back in. Unless force is set, the mutation
// returns a Conflict error if no zone would be left in service, or no endpoint of a
// pool that had one in service.
func SetZoneOut(id cicadapitch.ZoneID, out, force bool) Mutation {
	return availabilityMutation(force, func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Zones, func(z cicadapitch.Zone) bool { return z.ID == id })
		if i < 0 {
			return errUnknown("zone", string(id))
		}
		cfg.Zones[i].Out = out
		return nil
	})
}

// SetHostOut takes an entry host out of service or back in. Unless force is set, the
// mutation returns a Conflict error if no entry host would be left in service.
func SetHostOut(id cicadapitch.HostID, out, force bool) Mutation {
	return availabilityMutation(force, func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Hosts, func(h cicadapitch.HostSetting) bool { return h.ID == id })
		if i < 0 {
			return errUnknown("host", string(id))
		}
		cfg.Hosts[i].Out = out
		return nil
	})
}

// SetEndpointOut takes an endpoint out of service or back in. Unless force is set, the
// mutation returns a Conflict error if no endpoint of the pool would be left in
// service.
func SetEndpointOut(id cicadapitch.EndpointID, out, force bool) Mutation {
	return availabilityMutation(force, func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Endpoints, func(e cicadapitch.Endpoint) bool { return e.ID == id })
		if i < 0 {
			return errUnknown("endpoint", string(id))
		}
		cfg.Endpoints[i].Out = out
		return nil
	})
}

// availabilityMutation returns change with a check: unless force is set, it returns
// a Conflict error if a resource that was available before the change is not
// available afterwards.
func availabilityMutation(force bool, change Mutation) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		before := availableResources(cfg)
		if err := change(cfg); err != nil {
			return err
		}
		after := availableResources(cfg)
		var lost []string
		for _, resource := range before {
			if !slices.Contains(after, resource) {
				lost = append(lost, resource)
			}
		}
		if len(lost) == 0 || force {
			return nil
		}
		return cicadapitch.NewError(cicadapitch.Conflict,
			"this would leave nothing in service of: "+strings.Join(lost, ", "),
			"bring others back in first, or set Force")
	}
}

// availableResources returns the names of the available resources: "the zones" and
// "the hosts" if at least one of them is in service, and each pool that has an
// endpoint in service in a zone in service.
func availableResources(cfg *cicadapitch.Configuration) []string {
	var names []string
	add := func(name string, ok bool) {
		if ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	zoneOut := make(map[cicadapitch.ZoneID]bool)
	for _, z := range cfg.Zones {
		zoneOut[z.ID] = z.Out
		add("the zones", !z.Out)
	}
	for _, h := range cfg.Hosts {
		add("the hosts", !h.Out)
	}
	for _, e := range cfg.Endpoints {
		add(fmt.Sprintf("pool %s", e.Pool), !e.Out && !zoneOut[e.Zone])
	}
	return names
}

// errUnknown returns a NotFound error for an element of the given kind.
func errUnknown(kind, name string) error {
	return cicadapitch.NewError(cicadapitch.NotFound, fmt.Sprintf("there is no %s %q", kind, name),
		"look up the names with: cicadapitch configuration show")
}
