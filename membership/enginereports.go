package membership

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/placement"
)

// reportsTTL is how long a sum of reports is used. Summing up those of 85 hosts on 90 engines takes some
// tenths of a millisecond, and reports are up to heartbeatInterval old already.
const reportsTTL cicadapitch.Millis = 50

// timedReports is a sum of reports and when it was made.
type timedReports struct {
	placement.EngineReports
	at cicadapitch.Instant
}

// EngineReports estimates the calls and the work that all other hosts have at each engine, up to reportsTTL
// ago. Where only some of a large fleet's hosts sent a recent heartbeat, it scales their sum up to the whole
// fleet. The caller must not modify the result.
func (m *Membership) EngineReports() placement.EngineReports {
	now := m.clock.Now()
	if r := m.reports.Load(); r != nil && now.Sub(r.at) < reportsTTL {
		return r.EngineReports
	}
	r := &timedReports{EngineReports: m.sumReports(now), at: now}
	m.reports.Store(r)
	return r.EngineReports
}

// Loads estimates the number of requests that all other hosts have at each engine, as EngineReports does.
func (m *Membership) Loads() map[cicadapitch.EndpointID]int { return m.EngineReports().Calls }

// sumReports implements EngineReports.
func (m *Membership) sumReports(now cicadapitch.Instant) placement.EngineReports {
	sum := placement.NewEngineReports()
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := 0
	for _, p := range m.peers {
		if age := now.Sub(p.receivedAt); p.receivedAt > 0 && age < livenessTimeout {
			recent++
			sum.Add(p.Loads, p.Work, age)
		}
	}
	others := len(m.view.Load().Hosts) - 1
	if recent > 0 && others > heartbeatFanout && recent < others {
		sum.Scale(others, recent)
	}
	return sum
}
