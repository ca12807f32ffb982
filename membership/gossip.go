package membership

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// heartbeatFanout is the maximum number of hosts to which a host sends heartbeats.
	// It bounds the cost to each host. In larger fleets hosts relay reports, so that a
	// report takes one or two more heartbeats to reach every host.
	heartbeatFanout = 12
	// largeFleet is the number of hosts from which on each sends heartbeats to largeFleetFanout hosts.
	// What a host hears of reaches all within three heartbeats nevertheless.
	largeFleet       = 128
	largeFleetFanout = 9
	// downReportTTL is how long a host that was reported down counts as down on
	// hosts that do not monitor it themselves. It spans several heartbeats.
	downReportTTL cicadapitch.Millis = 2000
	// cutOffReportTTL is how long a host that was reported cut off counts as such. It spans
	// several heartbeats.
	cutOffReportTTL cicadapitch.Millis = 1500
	// waitsTTL is how long the reported queue waits of a shard are used.
	waitsTTL cicadapitch.Millis = 1500
)

// timedWaits holds the queue waits of a shard, as gateway.QueueWaits, and when its
// owner reported them.
type timedWaits struct {
	waits      []cicadapitch.Millis
	reportedAt cicadapitch.Instant
}

// heartbeatTargets returns the hosts to which the host with the given incarnation
// sends heartbeats: all others, or the first heartbeatFanout of them in the rank order
// for the incarnation, in a large fleet the first largeFleetFanout.
func heartbeatTargets(incarnation string, hosts []fleet.Host) []fleet.Host {
	var others []fleet.Host
	for _, h := range hosts {
		if h.Incarnation != incarnation {
			others = append(others, h)
		}
	}
	fanout := heartbeatFanout
	if len(others) >= largeFleet {
		fanout = largeFleetFanout
	}
	if len(others) <= fanout {
		return others
	}
	return fleet.Rank(incarnation, others, fleet.HostIncarnation)[:fanout]
}

// mergeReports stores the down reports and the queue waits of a heartbeat that are
// newer than the stored ones. The caller holds mu.
func (m *Membership) mergeReports(now cicadapitch.Instant, hb Heartbeat) {
	for _, r := range hb.Down {
		at, known := now.Add(-r.Age), m.downAt[r.Incarnation]
		if at <= known {
			continue
		}
		m.downAt[r.Incarnation] = at
		if now.Sub(known) >= downReportTTL {
			m.dropRanking()
		}
	}
	for _, r := range hb.CutOff {
		if at := now.Add(-r.Age); at > m.cutOffAt[r.Incarnation] && r.Incarnation != m.incarnation {
			m.cutOffAt[r.Incarnation] = at
		}
	}
	for shard, w := range hb.Waits {
		if at := now.Add(-w.Age); at > m.peerWaits[shard].reportedAt {
			m.peerWaits[shard] = timedWaits{w.Waits, at}
		}
	}
}

// downReports returns a report for each monitored host that is not available, and for
// each other host that was reported down less than downReportTTL ago. The caller holds
// mu.
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

// cutOffReports returns a report for each host that was reported cut off lately, and for this
// one if cutOff is true. The caller holds mu.
func (m *Membership) cutOffReports(now cicadapitch.Instant, cutOff bool) []DownReport {
	var out []DownReport
	if cutOff {
		out = append(out, DownReport{Incarnation: m.incarnation})
	}
	for incarnation, at := range m.cutOffAt {
		if now.Sub(at) < cutOffReportTTL {
			out = append(out, DownReport{incarnation, now.Sub(at)})
		}
	}
	return out
}

// freshWaits returns the queue waits that other hosts reported less than waitsTTL ago,
// by shard key. The caller holds mu.
func (m *Membership) freshWaits(now cicadapitch.Instant) map[string]AgedWaits {
	out := map[string]AgedWaits{}
	for shard, w := range m.peerWaits {
		if age := now.Sub(w.reportedAt); age < waitsTTL {
			out[shard] = AgedWaits{w.waits, age}
		}
	}
	return out
}
