package host

import (
	"cicadapitch.example/cicadapitch"
)

// Self implements cicadapitch.Members.
func (g *Group) Self() cicadapitch.Member {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.core.Self()
}

// Members implements cicadapitch.Members. The caller owns the slice; the claims of
// its records are shared and must not be modified. Ready hosts that the host list
// reports as leaving have the state Leaving.
func (g *Group) Members() []cicadapitch.Member {
	g.mu.RLock()
	defer g.mu.RUnlock()
	members := g.core.Members()
	for i, m := range members {
		if g.listedAsLeaving(m) {
			members[i].State = cicadapitch.Leaving
		}
	}
	return members
}

// StoreReachability returns the number of hosts, this host included, that reach the
// store, and the number of hosts that do not. Suspected hosts are not counted.
func (g *Group) StoreReachability() (up, down int) {
	for _, m := range g.Members() {
		switch {
		case m.State == cicadapitch.Suspect:
		case m.StoreUp:
			up++
		default:
			down++
		}
	}
	return up, down
}

// Subscribe registers fn, which is called with all members after changes other
// than of loads. Calls are made one at a time, only while Run runs, and one call
// may cover several changes.
func (g *Group) Subscribe(fn func([]cicadapitch.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers = append(g.subscribers, fn)
}
