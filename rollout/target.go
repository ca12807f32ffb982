package rollout

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Target is the model, version, adapters and role that an engine must serve.
type Target struct {
	Model    cicadapitch.ModelID
	Version  cicadapitch.ModelVersion
	Adapters []cicadapitch.AdapterID
	Role     string
}

// targetOf returns the target of a pool. It returns false for service pools, and
// for engine pools for which operators have not yet ordered a model.
func targetOf(p cicadapitch.Pool) (Target, bool) {
	if p.Kind != cicadapitch.Engine || !p.Ordered {
		return Target{}, false
	}
	return Target{Model: p.Model, Version: p.Version, Adapters: p.Adapters, Role: p.Role}, true
}

func (t Target) equal(o Target) bool {
	return t.Model == o.Model && t.Version == o.Version && t.Role == o.Role && slices.Equal(t.Adapters, o.Adapters)
}
