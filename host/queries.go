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

// Members implements cicadapitch.Members. The slice is the caller's, what the
// records refer to is shared and must not be changed.
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

// StoreSeen counts the hosts, this one included, that reach the platform's
// key-value service and those that do not. Hosts that do not answer count for
// neither.
func (g *Group) StoreSeen() (up, down int) {
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

// Subscribe calls fn with all members after changes, those of loads apart. The
// calls come one after the other while Run runs.
func (g *Group) Subscribe(fn func([]cicadapitch.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers = append(g.subscribers, fn)
}
