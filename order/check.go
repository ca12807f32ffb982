package order

import (
	"fmt"
	"net/url"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// Check tells whether a configuration is whole: names are given and differ,
// references lead somewhere, numbers make sense and there is an operator. The
// error lists everything that is wrong.
func Check(cfg *cicadapitch.Configuration) error {
	c := &checks{}
	c.need(cfg.Weight >= 0 && cfg.Weight <= 1, "Weight is not between 0 and 1")
	c.need(len(cfg.Operators) > 0, "there is no operator left")
	c.unique("Zones", len(cfg.Zones), func(i int) string { return string(cfg.Zones[i].ID) })
	c.unique("Hosts", len(cfg.Hosts), func(i int) string { return string(cfg.Hosts[i].ID) })
	c.unique("Pools", len(cfg.Pools), func(i int) string { return string(cfg.Pools[i].ID) })
	c.unique("Endpoints", len(cfg.Endpoints), func(i int) string { return string(cfg.Endpoints[i].ID) })
	c.unique("Pipelines", len(cfg.Pipelines), func(i int) string { return string(cfg.Pipelines[i].ID) })
	c.unique("Customers", len(cfg.Customers), func(i int) string { return string(cfg.Customers[i].ID) })
	c.unique("Operators", len(cfg.Operators), func(i int) string { return string(cfg.Operators[i].ID) })
	c.pools(cfg)
	c.endpoints(cfg)
	c.pipelines(cfg)
	c.customers(cfg)
	c.keys(cfg)
	if len(c.wrong) == 0 {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid, strings.Join(c.wrong, "; "), "correct these and order again")
}

type checks struct{ wrong []string }

func (c *checks) need(ok bool, format string, args ...any) {
	if !ok {
		c.wrong = append(c.wrong, fmt.Sprintf(format, args...))
	}
}

func (c *checks) unique(list string, n int, id func(int) string) {
	seen := make(map[string]bool, n)
	for i := range n {
		c.need(id(i) != "", "%s[%d] has no ID", list, i)
		c.need(!seen[id(i)], "%s has %q twice", list, id(i))
		seen[id(i)] = true
	}
}

func (c *checks) pools(cfg *cicadapitch.Configuration) {
	for _, p := range cfg.Pools {
		c.need(p.Kind.IsAPoolKind(), "pool %q has an unknown kind", p.ID)
		c.need(p.Kind != cicadapitch.Engine || p.Model != "", "pool %q of engines has no model", p.ID)
		c.need(p.ColdSlots >= 1 && p.WarmSlots >= p.ColdSlots, "pool %q needs 1 <= ColdSlots <= WarmSlots", p.ID)
		c.need(p.CostPerSlotSecond >= 0, "pool %q has a negative cost", p.ID)
	}
}

func (c *checks) endpoints(cfg *cicadapitch.Configuration) {
	type place struct {
		pool cicadapitch.PoolID
		zone cicadapitch.ZoneID
	}
	shards := make(map[cicadapitch.ShardID]place)
	zones := nameSet(len(cfg.Zones), func(i int) string { return string(cfg.Zones[i].ID) })
	pools := nameSet(len(cfg.Pools), func(i int) string { return string(cfg.Pools[i].ID) })
	for _, e := range cfg.Endpoints {
		c.need(pools[string(e.Pool)], "endpoint %q has the unknown pool %q", e.ID, e.Pool)
		c.need(zones[string(e.Zone)], "endpoint %q has the unknown zone %q", e.ID, e.Zone)
		u, err := url.Parse(e.Address)
		c.need(err == nil && u.Host != "", "endpoint %q has no address", e.ID)
		here := place{e.Pool, e.Zone}
		other, ok := shards[e.Shard]
		c.need(e.Shard != "" && (!ok || other == here), "endpoint %q has no shard of its own pool and zone", e.ID)
		shards[e.Shard] = here
	}
}

func nameSet(n int, id func(int) string) map[string]bool {
	set := make(map[string]bool, n)
	for i := range n {
		set[id(i)] = true
	}
	return set
}

func (c *checks) pipelines(cfg *cicadapitch.Configuration) {
	for _, p := range cfg.Pipelines {
		c.need(p.Deadline > 0, "pipeline %q has no deadline", p.ID)
		c.need(len(p.Stages) > 0, "pipeline %q has no stages", p.ID)
		c.need(p.FirstToken >= 0 && p.BetweenTokens >= 0, "pipeline %q has a negative target", p.ID)
		c.unique(fmt.Sprintf("pipeline %q", p.ID), len(p.Stages), func(i int) string { return string(p.Stages[i].ID) })
		for _, s := range p.Stages {
			pool, ok := cfg.Pool(s.Pool)
			c.need(ok, "stage %s/%s has the unknown pool %q", p.ID, s.ID, s.Pool)
			c.need(s.ExpectedMillis > 0, "stage %s/%s has no expected service time", p.ID, s.ID)
			c.need(s.MaxTokens > 0 || !ok || pool.Kind != cicadapitch.Engine, "stage %s/%s has no MaxTokens", p.ID, s.ID)
		}
	}
}

func (c *checks) customers(cfg *cicadapitch.Configuration) {
	for _, cu := range cfg.Customers {
		c.need(cu.Share > 0, "customer %q has no share", cu.ID)
		for _, d := range cu.Deadlines {
			_, ok := cfg.Pipeline(d.Pipeline)
			c.need(ok, "customer %q has a deadline for the unknown pipeline %q", cu.ID, d.Pipeline)
			c.need(d.Deadline > 0, "customer %q has a deadline below 1 ms", cu.ID)
		}
	}
}

// keys checks that every holder has a key of its own, so that a customer's key
// is never an operator's.
func (c *checks) keys(cfg *cicadapitch.Configuration) {
	seen := make(map[string]bool)
	add := func(what, id, hash string) {
		c.need(len(hash) == 64, "%s %q has no key hash", what, id)
		c.need(!seen[hash], "%s %q shares its key with another", what, id)
		seen[hash] = true
	}
	for _, cu := range cfg.Customers {
		add("customer", string(cu.ID), cu.KeyHash)
	}
	for _, o := range cfg.Operators {
		add("operator", string(o.ID), o.KeyHash)
	}
}
