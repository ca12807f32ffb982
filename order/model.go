package order

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Model is the model that the engines of a pool serve, with its version, adapters
// and role. The owner of each shard of the pool sends the model, with the fencing
// number of the shard, to the engines.
type Model struct {
	Pool     cicadapitch.PoolID
	Model    cicadapitch.ModelID
	Version  cicadapitch.ModelVersion
	Adapters []cicadapitch.AdapterID
	Role     string
}

// SetModel sets the model of a pool. The mutation returns an Invalid error if the
// endpoints of the pool are plain services.
func SetModel(m Model) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Pools, func(p cicadapitch.Pool) bool { return p.ID == m.Pool })
		if i < 0 {
			return errUnknown("pool", string(m.Pool))
		}
		p := &cfg.Pools[i]
		if p.Kind != cicadapitch.Engine {
			return cicadapitch.NewError(cicadapitch.Invalid, "the pool's endpoints are plain services", "name a pool of engines")
		}
		p.Model = m.Model
		p.Version = m.Version
		p.Adapters = m.Adapters
		p.Role = m.Role
		p.Ordered = true
		return nil
	}
}

// markOrdered sets Ordered, which makes the rollout send the model to the engines,
// on each pool of engines in after that had it set before or whose model differs.
// Pools that are new in after are unchanged.
func markOrdered(before, after *cicadapitch.Configuration) {
	after.Pools = slices.Clone(after.Pools)
	for i := range after.Pools {
		p := &after.Pools[i]
		if previous, ok := before.Pool(p.ID); ok && p.Kind == cicadapitch.Engine {
			p.Ordered = previous.Ordered || !sameModel(previous, *p)
		}
	}
}

// sameModel reports whether the engines of both pools serve the same model.
func sameModel(a, b cicadapitch.Pool) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}
