package order

import (
	"fmt"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// check holds the rules that orders add to those of configuration.Check: there
// is an operator left, everyone has a key of their own, so that a customer's
// key is never an operator's, and engines have a model.
func check(cfg *cicadapitch.Configuration) error {
	c := &rules{seen: make(map[string]bool)}
	c.need(len(cfg.Operators) > 0, "there is no operator left")
	for _, o := range cfg.Operators {
		c.key("operator", string(o.ID), o.KeyHash)
	}
	for _, cu := range cfg.Customers {
		c.key("customer", string(cu.ID), cu.KeyHash)
		c.need(cu.Share > 0, "customer %q has no share", cu.ID)
	}
	for _, p := range cfg.Pools {
		c.need(p.Kind != cicadapitch.Engine || p.Model != "", "pool %q of engines has no model", p.ID)
	}
	if len(c.broken) == 0 {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid, strings.Join(c.broken, "; "), "correct these and order again")
}

type rules struct {
	seen   map[string]bool
	broken []string
}

func (c *rules) need(ok bool, format string, args ...any) {
	if !ok {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

func (c *rules) key(what, id, hash string) {
	c.need(hash != "", "%s %q has no key hash", what, id)
	c.need(!c.seen[hash], "%s %q shares its key with another", what, id)
	c.seen[hash] = true
}
