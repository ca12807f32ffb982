package membership

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// maxHostsAllWatching is the number of hosts up to which all of them watch the store.
	maxHostsAllWatching = 16
	// storeWatcherCount is how many hosts of a larger fleet watch the store. The others
	// fetch its changes from them when a heartbeat shows a later revision, so that
	// the number of store calls and of copies of large values does not grow with the fleet.
	// spareWatcherCount is how many do while watchers report that they cannot reach it.
	storeWatcherCount = 6
	spareWatcherCount = 18
	// minRecentPeers is the number of other hosts with a recent heartbeat below
	// which a host watches the store itself.
	minRecentPeers = 4
	// watcherRankKey is the key by which the watchers are chosen with fleet.Rank.
	watcherRankKey = "store"
)

// shouldWatchStore reports whether this host has to watch the store itself: in a small
// fleet, with few recent heartbeats, or as one of the highest ranked hosts. The caller must
// not hold mu.
func (m *Membership) shouldWatchStore() bool {
	if m.allWatch() || m.rankedHosts().recentPeers < minRecentPeers {
		return true
	}
	return slices.ContainsFunc(m.watchers(), m.IsSelf)
}

// allWatch reports whether the fleet is so small that all hosts watch the store.
func (m *Membership) allWatch() bool { return len(m.View().Hosts) <= maxHostsAllWatching }

// watchers returns the hosts of a large fleet that have to watch the store. The caller must not
// hold mu.
func (m *Membership) watchers() []fleet.Host {
	n := storeWatcherCount
	if m.outageReported() {
		n = spareWatcherCount
	}
	return m.rankedHosts().first(watcherRankKey, n)
}

// outageReported reports whether a host that has to watch the store said lately that it
// cannot reach it.
func (m *Membership) outageReported() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerOutageAt > 0 && m.clock.Now().Sub(m.peerOutageAt) < outageWindow
}

// countRecentPeers counts the other hosts with a heartbeat within livenessTimeout.
func (m *Membership) countRecentPeers(now cicadapitch.Instant) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.peers {
		if p.receivedAt > 0 && now.Sub(p.receivedAt) < livenessTimeout {
			n++
		}
	}
	return n
}
