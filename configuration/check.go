package configuration

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// maxIDLength is the maximum length of an id in bytes.
const maxIDLength = 128

// faults collects the faults of a configuration.
type faults struct{ list []string }

func (f *faults) add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// Check returns nil if cfg is valid, otherwise an Invalid error whose reason
// lists all faults of cfg.
func Check(cfg *cicadapitch.Configuration) error {
	var f faults
	if cfg.Weight < 0 || cfg.Weight > 1 {
		f.add("Weight %g lies outside 0 and 1", cfg.Weight)
	}
	zones := checkIDs(&f, "Zones", cfg.Zones, zoneKey)
	pools := checkIDs(&f, "Pools", cfg.Pools, poolKey)
	pipelines := checkIDs(&f, "Pipelines", cfg.Pipelines, pipelineKey)
	checkIDs(&f, "Hosts", cfg.Hosts, hostKey)
	checkIDs(&f, "Endpoints", cfg.Endpoints, endpointKey)
	checkIDs(&f, "Customers", cfg.Customers, customerKey)
	checkIDs(&f, "Operators", cfg.Operators, operatorKey)
	checkPools(&f, cfg.Pools)
	checkEndpoints(&f, cfg.Endpoints, zones, pools)
	checkPipelines(&f, cfg.Pipelines, pools)
	checkCustomers(&f, cfg.Customers, pipelines)
	for _, o := range cfg.Operators {
		checkKeyHash(&f, "Operators["+string(o.ID)+"]", o.KeyHash)
	}
	if len(f.list) == 0 {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid, strings.Join(f.list, "; "), "mend these fields and send the change again")
}

// checkIDs returns the elements of a list by id and adds a fault for each id that
// is empty, too long, duplicate, or contains a slash, space or newline.
func checkIDs[T any](f *faults, name string, list []T, key func(T) string) map[string]T {
	byID := make(map[string]T, len(list))
	for i, v := range list {
		id := key(v)
		if id == "" || len(id) > maxIDLength || strings.ContainsAny(id, "/ \n") {
			f.add("%s[%d].ID %q must have 1 to %d characters, none of them a slash or a space", name, i, id, maxIDLength)
		}
		if _, ok := byID[id]; ok {
			f.add("%s[%s] is there twice", name, id)
		}
		byID[id] = v
	}
	return byID
}

func checkPools(f *faults, pools []cicadapitch.Pool) {
	for _, p := range pools {
		name := "Pools[" + string(p.ID) + "]"
		if p.ColdSlots < 0 || p.WarmSlots < 1 || p.ColdSlots > p.WarmSlots {
			f.add("%s needs 0 <= ColdSlots <= WarmSlots and WarmSlots >= 1", name)
		}
		if p.CostPerSlotSecond < 0 {
			f.add("%s.CostPerSlotSecond is negative", name)
		}
		if !p.Kind.IsAPoolKind() {
			f.add("%s.Kind is unknown", name)
		}
	}
}

// checkEndpoints adds a fault for each unknown zone or pool, each malformed or
// duplicate address, each malformed shard name, and each shard that spans pools or
// zones.
func checkEndpoints(f *faults, endpoints []cicadapitch.Endpoint, zones map[string]cicadapitch.Zone, pools map[string]cicadapitch.Pool) {
	shards := make(map[cicadapitch.ShardID]cicadapitch.Endpoint)
	addresses := make(map[string]cicadapitch.EndpointID)
	for _, e := range endpoints {
		name := "Endpoints[" + string(e.ID) + "]"
		if _, ok := zones[string(e.Zone)]; !ok {
			f.add("%s.Zone %q is unknown", name, e.Zone)
		}
		if _, ok := pools[string(e.Pool)]; !ok {
			f.add("%s.Pool %q is unknown", name, e.Pool)
		}
		if !isAddress(e.Address) {
			f.add("%s.Address %q must be http://ip:port", name, e.Address)
		}
		if other, ok := addresses[e.Address]; ok {
			f.add("%s.Address is also that of %s", name, other)
		}
		addresses[e.Address] = e.ID
		if e.Shard == "" || strings.ContainsAny(string(e.Shard), "/ \n") {
			f.add("%s.Shard %q must be a name without slash and space", name, e.Shard)
		}
		first, ok := shards[e.Shard]
		if !ok {
			shards[e.Shard] = e
		} else if first.Pool != e.Pool || first.Zone != e.Zone {
			f.add("%s.Shard %q spans pools or zones", name, e.Shard)
		}
	}
}

// isAddress reports whether s is an http base URL with an IP address and a port.
func isAddress(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.User != nil {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

func checkPipelines(f *faults, pipelines []cicadapitch.Pipeline, pools map[string]cicadapitch.Pool) {
	for _, p := range pipelines {
		name := "Pipelines[" + string(p.ID) + "]"
		if p.Deadline <= 0 {
			f.add("%s.Deadline must be more than 0 ms", name)
		}
		if p.FirstToken < 0 || p.BetweenTokens < 0 {
			f.add("%s has a negative token target", name)
		}
		if len(p.Stages) == 0 {
			f.add("%s has no stages", name)
		}
		stages := make(map[cicadapitch.StageID]bool)
		for _, s := range p.Stages {
			stage := name + ".Stages[" + string(s.ID) + "]"
			if s.ID == "" || stages[s.ID] || strings.ContainsAny(string(s.ID), "/ \n") {
				f.add("%s.ID must be unique in its pipeline, without slash and space", stage)
			}
			stages[s.ID] = true
			if _, ok := pools[string(s.Pool)]; !ok {
				f.add("%s.Pool %q is unknown", stage, s.Pool)
			}
			if s.ExpectedMillis < 0 || s.MaxTokens < 0 {
				f.add("%s has a negative ExpectedMillis or MaxTokens", stage)
			}
		}
	}
}

func checkCustomers(f *faults, customers []cicadapitch.Customer, pipelines map[string]cicadapitch.Pipeline) {
	for _, c := range customers {
		name := "Customers[" + string(c.ID) + "]"
		checkKeyHash(f, name, c.KeyHash)
		if c.Share < 0 {
			f.add("%s.Share is negative", name)
		}
		for _, d := range c.Deadlines {
			if _, ok := pipelines[string(d.Pipeline)]; !ok {
				f.add("%s.Deadlines names the unknown pipeline %q", name, d.Pipeline)
			}
			if d.Deadline <= 0 {
				f.add("%s.Deadlines[%s] must be more than 0 ms", name, d.Pipeline)
			}
		}
	}
}

// checkKeyHash adds a fault unless hash is a SHA-256 in lower-case hexadecimal.
// An empty hash is valid: the key is not set yet.
func checkKeyHash(f *faults, name, hash string) {
	const sha256Hex = 64
	if hash == "" {
		return
	}
	if len(hash) != sha256Hex || strings.Trim(hash, "0123456789abcdef") != "" {
		f.add("%s.KeyHash must be a SHA-256 in lower-case hexadecimal", name)
	}
}
