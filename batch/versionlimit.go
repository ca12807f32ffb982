package batch

import "cicadapitch.example/cicadapitch"

// VersionLimit bounds the calls at endpoints of one software version.
type VersionLimit struct {
	Version cicadapitch.SoftwareVersion
	// Calls is the most calls that the next Plan starts there.
	Calls int
}

// SetVersionLimit bounds the calls at endpoints of one software version until it is called again. With nil
// there is no bound.
func (p *Planner) SetVersionLimit(l *VersionLimit) { p.versionLimit = l }

// withinVersionLimit returns the endpoints that can start a call, those of a limited version first and no
// more of them than it may get calls.
func (p *Planner) withinVersionLimit(list []*endpointState) []*endpointState {
	if p.versionLimit == nil {
		return list
	}
	var limited, others []*endpointState
	for _, s := range list {
		switch {
		case s.Version != p.versionLimit.Version:
			others = append(others, s)
		case len(limited) < p.versionLimit.Calls:
			limited = append(limited, s)
		}
	}
	return append(limited, others...)
}
