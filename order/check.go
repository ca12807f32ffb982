package order

import (
	"fmt"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// checkOrderRules verifies the rules that configuration.Check does not include:
//   - there is an operator,
//   - each operator and each customer has a key of its own,
//   - each customer has a share,
//   - each pool of engines has a model.
//
// Unique keys ensure that no customer's key gives an operator's rights.
func checkOrderRules(cfg *cicadapitch.Configuration) error {
	v := &validator{keyHashes: make(map[string]bool)}
	v.require(len(cfg.Operators) > 0, "there is no operator left")
	for _, o := range cfg.Operators {
		v.requireUniqueKey("operator", string(o.ID), o.KeyHash)
	}
	for _, cu := range cfg.Customers {
		v.requireUniqueKey("customer", string(cu.ID), cu.KeyHash)
		v.require(cu.Share > 0, "customer %q has no share", cu.ID)
	}
	for _, p := range cfg.Pools {
		v.require(p.Kind != cicadapitch.Engine || p.Model != "", "pool %q of engines has no model", p.ID)
	}
	if len(v.violations) == 0 {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid, strings.Join(v.violations, "; "), "correct these and order again")
}

// validator collects violations of the rules.
type validator struct {
	keyHashes  map[string]bool
	violations []string
}

func (v *validator) require(ok bool, format string, args ...any) {
	if !ok {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

// requireUniqueKey requires that hash is set and differs from all earlier ones.
func (v *validator) requireUniqueKey(kind, id, hash string) {
	v.require(hash != "", "%s %q has no key hash", kind, id)
	v.require(!v.keyHashes[hash], "%s %q shares its key with another", kind, id)
	v.keyHashes[hash] = true
}
