package membership

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// rankingLife is how long the available hosts and their ranks are used. Hosts that come, leave or
// answer again end it sooner; a host that falls silent is used for that much longer.
const rankingLife cicadapitch.Millis = 100

// hostRanking holds the available hosts, and their ranks for the keys that were asked for.
type hostRanking struct {
	madeAt cicadapitch.Instant
	// hosts is not modified. recentPeers is the number of other hosts with a recent heartbeat.
	hosts       []fleet.Host
	recentPeers int
	mu          sync.Mutex
	// ranked holds immutable lists by key.
	ranked map[string][]fleet.Host
}

// rankedHosts returns the ranking in use, or a new one if it has been dropped or is too old. The caller
// must not hold mu.
func (m *Membership) rankedHosts() *hostRanking {
	now, changes := m.clock.Now(), m.rankingChanges.Load()
	if r := m.ranking.Load(); r != nil && now.Sub(r.madeAt) < rankingLife {
		return r
	}
	r := &hostRanking{madeAt: now, hosts: m.availableHosts(now), recentPeers: m.countRecentPeers(now), ranked: map[string][]fleet.Host{}}
	m.ranking.Store(r)
	if m.rankingChanges.Load() != changes {
		m.ranking.CompareAndSwap(r, nil)
	}
	return r
}

// dropRanking makes the next look-up rank the hosts anew, since the available hosts have changed.
func (m *Membership) dropRanking() {
	m.rankingChanges.Add(1)
	m.ranking.Store(nil)
}

// first returns the first n of the available hosts, or fewer, in the order of rank.
func (r *hostRanking) first(key string, n int) []fleet.Host {
	ranked := r.rank(key)
	return ranked[:min(n, len(ranked))]
}

// rank returns the available hosts in the rendezvous order for a key. The caller must not modify the
// result.
func (r *hostRanking) rank(key string) []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	ranked, ok := r.ranked[key]
	if !ok {
		ranked = fleet.Rank(key, r.hosts, fleet.HostIncarnation)
		r.ranked[key] = ranked
	}
	return ranked
}
