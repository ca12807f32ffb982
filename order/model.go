package order

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Model is what the engines of a pool serve. The owners of the pool's shards
// order each engine to it with their fencing number.
type Model struct {
	Pool     cicadapitch.PoolID
	Model    cicadapitch.ModelID
	Version  cicadapitch.ModelVersion
	Adapters []cicadapitch.AdapterID
	Role     string
}

// SetModel sets what the engines of a pool serve.
func SetModel(m Model) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Pools, func(p cicadapitch.Pool) bool { return p.ID == m.Pool })
		if i < 0 {
			return unknown("pool", string(m.Pool))
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

// keepOrdered marks the pools whose engines are to serve something else than
// before, and keeps the mark of those that were ordered earlier.
func keepOrdered(before, after *cicadapitch.Configuration) {
	after.Pools = slices.Clone(after.Pools)
	for i := range after.Pools {
		p := &after.Pools[i]
		if was, ok := before.Pool(p.ID); ok && p.Kind == cicadapitch.Engine {
			p.Ordered = was.Ordered || !servesSame(was, *p)
		}
	}
}

func servesSame(a, b cicadapitch.Pool) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}
