package mesh

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// neighbours is how many hosts a host sends heartbeats to. Smaller fleets
	// exchange them all with all; in larger ones news takes one or two more
	// heartbeats, and the cost to a host does not grow with the fleet.
	neighbours = 12
	// rumorLife is how long a host that was found down counts as down where it is
	// not watched directly: several heartbeats.
	rumorLife cicadapitch.Millis = 2000
	// waitsLife is how long the waits of a stage service are of use.
	waitsLife cicadapitch.Millis = 1500
)

type heardWaits struct {
	waits []cicadapitch.Millis
	at    cicadapitch.Instant
}

// neighboursOf returns the hosts that a host sends heartbeats to.
func neighboursOf(incarnation string, hosts []fleet.Host) []fleet.Host {
	var others []fleet.Host
	for _, h := range hosts {
		if h.Incarnation != incarnation {
			others = append(others, h)
		}
	}
	if len(others) <= neighbours {
		return others
	}
	return fleet.Rank(incarnation, others, func(h fleet.Host) string { return h.Incarnation })[:neighbours]
}

// hearRumors takes what another host found or heard. The caller holds mu.
func (m *Mesh) hearRumors(now cicadapitch.Instant, b Beat) {
	for _, r := range b.Down {
		if at := now.Add(-r.Age); at > m.rumors[r.Incarnation] {
			m.rumors[r.Incarnation] = at
		}
	}
	for s, w := range b.Waits {
		if at := now.Add(-w.Age); at > m.told[s].at {
			m.told[s] = heardWaits{w.Waits, at}
		}
	}
}

// down lists the hosts that this host found down or heard to be. The caller
// holds mu.
func (m *Mesh) down(now cicadapitch.Instant) []Rumor {
	var out []Rumor
	for _, h := range m.view.Load().Hosts {
		switch {
		case h.Incarnation == m.incarnation:
		case m.watched[h.Incarnation]:
			if !m.alive(now, h) {
				out = append(out, Rumor{Incarnation: h.Incarnation})
			}
		case now.Sub(m.rumors[h.Incarnation]) < rumorLife:
			out = append(out, Rumor{h.Incarnation, now.Sub(m.rumors[h.Incarnation])})
		}
	}
	return out
}

// freshWaits lists the waits that are still of use. The caller holds mu.
func (m *Mesh) freshWaits(now cicadapitch.Instant) map[string]AgedWaits {
	out := map[string]AgedWaits{}
	for s, w := range m.told {
		if age := now.Sub(w.at); age < waitsLife {
			out[s] = AgedWaits{w.waits, age}
		}
	}
	return out
}
