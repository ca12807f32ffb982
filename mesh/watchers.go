package mesh

import "cicadapitch.example/cicadapitch/fleet"

const (
	// smallFleet is the number of hosts up to which all of them watch the store.
	smallFleet = 16
	// watchers is how many hosts of a larger fleet watch it. The others take its
	// changes from them with the heartbeats, so that the calls do not grow with the
	// fleet.
	watchers = 12
	// fewNeighbours is the number of hosts that a host must have heard lately to
	// rely on others.
	fewNeighbours = 4
	// watcherKey ranks the hosts.
	watcherKey = "store"
)

// watchesStore reports whether this host has to watch the store itself.
func (m *Mesh) watchesStore() bool {
	v := m.View()
	if len(v.Hosts) <= smallFleet || m.heardLately() < fewNeighbours {
		return true
	}
	ranked := fleet.Rank(watcherKey, m.Hosts(), func(h fleet.Host) string { return h.Incarnation })
	for _, h := range ranked[:min(watchers, len(ranked))] {
		if h.Incarnation == m.incarnation {
			return true
		}
	}
	return false
}

func (m *Mesh) heardLately() int {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.heard {
		if h.at > 0 && now.Sub(h.at) < silentAfter {
			n++
		}
	}
	return n
}
