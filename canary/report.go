package canary

import (
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Report is what a host tells the owner: its counts since it knew the order, and its state.
type Report struct {
	// Revision is that of the order.
	Revision cicadapitch.StoreRevision
	// Incarnation is the process of the host. Its counts begin at 0.
	Incarnation string
	// Sequence numbers the reports of a process, from 1.
	Sequence uint64
	// Phase is the phase in force at the host: the one by which it chooses versions.
	Phase Phase
	// Old and New are the calls that run at endpoints of the old and the new version, streams included.
	Old, New int
	Counts   Counts
}

// Checked returns r with all figures within their bounds. What is beyond MaxRoutes or has too long a name is left out.
func (r Report) Checked() Report {
	if !r.Phase.IsAPhase() {
		r.Phase = Canary
	}
	r.Incarnation = r.Incarnation[:min(len(r.Incarnation), MaxRouteName)]
	r.Old, r.New = min(max(r.Old, 0), MaxCount), min(max(r.New, 0), MaxCount)
	routes := make(map[string]RouteCounts, min(len(r.Counts.Routes), MaxRoutes))
	// Sorted, so that the same routes are taken each time.
	for _, name := range slices.Sorted(maps.Keys(r.Counts.Routes)) {
		if len(routes) == MaxRoutes {
			break
		}
		if len(name) <= MaxRouteName {
			rc := r.Counts.Routes[name]
			routes[name] = RouteCounts{Old: rc.Old.checked(), New: rc.New.checked()}
		}
	}
	r.Counts = Counts{Routes: routes}
	return r
}

// checked returns v with all figures within their bounds.
func (v VersionCounts) checked() VersionCounts {
	v.Answers = min(v.Answers, MaxCount)
	v.Failures = min(v.Failures, v.Answers)
	for i := range v.Times {
		v.Times[i] = min(v.Times[i], MaxCount)
		v.Pending[i] = min(v.Pending[i], MaxCount)
	}
	return v
}
