package membership

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// heartbeatFanout is how many hosts a host sends heartbeats to. Fleets of up to
	// that many other hosts exchange heartbeats all with all. In larger ones a
	// report takes one or two more heartbeats to reach every host, and the cost to
	// each host does not grow with the fleet.
	heartbeatFanout = 12
	// downReportTTL is how long a host that was reported down counts as down on
	// hosts that do not monitor it themselves. It spans several heartbeats.
	downReportTTL cicadapitch.Millis = 2000
	// waitsTTL is how long reported waits of a stage service are used.
	waitsTTL cicadapitch.Millis = 1500
)

// timedWaits holds the waits of a stage service by priority, and when its owner
// reported them.
type timedWaits struct {
	waits      []cicadapitch.Millis
	reportedAt cicadapitch.Instant
}

// heartbeatTargets returns the hosts that the host with the given incarnation
// sends heartbeats to.
func heartbeatTargets(incarnation string, hosts []fleet.Host) []fleet.Host {
	var others []fleet.Host
	for _, h := range hosts {
		if h.Incarnation != incarnation {
			others = append(others, h)
		}
	}
	if len(others) <= heartbeatFanout {
		return others
	}
	return fleet.Rank(incarnation, others, func(h fleet.Host) string { return h.Incarnation })[:heartbeatFanout]
}

// mergeReports takes over the reports in a heartbeat that are newer than those
// known here. The caller holds mu.
func (m *Membership) mergeReports(now cicadapitch.Instant, hb Heartbeat) {
	for _, r := range hb.Down {
		if at := now.Add(-r.Age); at > m.downAt[r.Incarnation] {
			m.downAt[r.Incarnation] = at
		}
	}
	for service, w := range hb.Waits {
		if at := now.Add(-w.Age); at > m.peerWaits[service].reportedAt {
			m.peerWaits[service] = timedWaits{w.Waits, at}
		}
	}
}

// downReports lists the unavailable hosts: of the monitored ones those that this
// host found down itself, of the others those that were lately reported down. The
// caller holds mu.
func (m *Membership) downReports(now cicadapitch.Instant) []DownReport {
	var out []DownReport
	for _, h := range m.view.Load().Hosts {
		switch {
		case h.Incarnation == m.incarnation:
		case m.monitored[h.Incarnation]:
			if !m.available(now, h) {
				out = append(out, DownReport{Incarnation: h.Incarnation})
			}
		case now.Sub(m.downAt[h.Incarnation]) < downReportTTL:
			out = append(out, DownReport{h.Incarnation, now.Sub(m.downAt[h.Incarnation])})
		}
	}
	return out
}

// freshWaits returns the waits that other hosts reported less than waitsTTL ago,
// by stage service. The caller holds mu.
func (m *Membership) freshWaits(now cicadapitch.Instant) map[string]AgedWaits {
	out := map[string]AgedWaits{}
	for service, w := range m.peerWaits {
		if age := now.Sub(w.reportedAt); age < waitsTTL {
			out[service] = AgedWaits{w.waits, age}
		}
	}
	return out
}
