package order

import (
	"fmt"
	"slices"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// SetZone takes a zone out of service or back in. Without force it refuses to
// take out the last zone in service, or one without which a pool would have
// no endpoint in service.
func SetZone(id cicadapitch.ZoneID, out, force bool) Mutation {
	return serviceChange(force, func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Zones, func(z cicadapitch.Zone) bool { return z.ID == id })
		if i < 0 {
			return unknown("zone", string(id))
		}
		cfg.Zones[i].Out = out
		return nil
	})
}

// SetHost takes an entry host out of service or back in. Without force it
// refuses to take out the last one.
func SetHost(id cicadapitch.HostID, out, force bool) Mutation {
	return serviceChange(force, func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Hosts, func(h cicadapitch.HostSetting) bool { return h.ID == id })
		if i < 0 {
			return unknown("host", string(id))
		}
		cfg.Hosts[i].Out = out
		return nil
	})
}

// SetEndpoint takes an endpoint out of service or back in. Without force it
// refuses to take out the last one of a pool.
func SetEndpoint(id cicadapitch.EndpointID, out, force bool) Mutation {
	return serviceChange(force, func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Endpoints, func(e cicadapitch.Endpoint) bool { return e.ID == id })
		if i < 0 {
			return unknown("endpoint", string(id))
		}
		cfg.Endpoints[i].Out = out
		return nil
	})
}

// serviceChange refuses a change after which something that was in service is
// left with nothing, unless it is forced.
func serviceChange(force bool, change Mutation) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		before := inService(cfg)
		if err := change(cfg); err != nil {
			return err
		}
		after := inService(cfg)
		var lost []string
		for _, what := range before {
			if !slices.Contains(after, what) {
				lost = append(lost, what)
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

// inService names what has something in service: zones, hosts, and pools by
// their endpoints in zones that are in service.
func inService(cfg *cicadapitch.Configuration) []string {
	var names []string
	add := func(name string, ok bool) {
		if ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	out := make(map[cicadapitch.ZoneID]bool)
	for _, z := range cfg.Zones {
		out[z.ID] = z.Out
		add("the zones", !z.Out)
	}
	for _, h := range cfg.Hosts {
		add("the hosts", !h.Out)
	}
	for _, e := range cfg.Endpoints {
		add(fmt.Sprintf("pool %s", e.Pool), !e.Out && !out[e.Zone])
	}
	return names
}

func unknown(what, name string) error {
	return cicadapitch.NewError(cicadapitch.NotFound, fmt.Sprintf("there is no %s %q", what, name),
		"look up the names with: cicadapitch configuration show")
}
