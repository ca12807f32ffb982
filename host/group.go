package host

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	period  cicadapitch.Millis = 500
	expires cicadapitch.Millis = 3000
)

type known struct {
	member cicadapitch.Member
	heard  cicadapitch.Instant
}

// Group knows the entry hosts. It implements cicadapitch.Members.
type Group struct {
	opts options

	mu     sync.RWMutex
	self   cicadapitch.Member
	others map[cicadapitch.HostID]known
	subs   []func([]cicadapitch.Member)
}

// New returns a group that knows only self.
func New(self cicadapitch.Member, opts ...Option) *Group {
	o := options{clock: cicadapitch.NewSystemClock(), log: zerolog.Nop()}
	for _, opt := range opts {
		opt(&o)
	}
	self.Started = o.clock.Now()
	return &Group{opts: o, self: self, others: make(map[cicadapitch.HostID]known)}
}

// Self implements cicadapitch.Members.
func (g *Group) Self() cicadapitch.Member {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.self
}

// Members implements cicadapitch.Members.
func (g *Group) Members() []cicadapitch.Member {
	g.mu.RLock()
	defer g.mu.RUnlock()
	list := []cicadapitch.Member{g.self}
	for _, k := range g.others {
		if k.member.State != cicadapitch.Dead {
			list = append(list, k.member)
		}
	}
	return list
}

// StoreSeen counts the hosts that reach the platform's key-value service and
// those that do not.
func (g *Group) StoreSeen() (up, down int) {
	members := g.Members()
	up = lo.CountBy(members, func(m cicadapitch.Member) bool { return m.StoreUp })
	return up, len(members) - up
}

// Subscribe calls fn with all members after every change.
func (g *Group) Subscribe(fn func([]cicadapitch.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subs = append(g.subs, fn)
}

// Update changes the own record.
func (g *Group) Update(change func(*cicadapitch.Member)) {
	g.mu.Lock()
	change(&g.self)
	g.self.Version++
	g.mu.Unlock()
	g.notify()
}

// Handle answers a ping.
func (g *Group) Handle(_ context.Context, p Ping) (Ack, error) {
	g.learn(p.Self, p.Records)
	return Ack{Self: g.Self(), Records: g.Members()}, nil
}

// Run pings the other hosts until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	for {
		for _, address := range g.targets(ctx) {
			go g.ping(ctx, address)
		}
		if err := g.opts.clock.Sleep(ctx, period); err != nil {
			return nil
		}
		g.expire()
	}
}

func (g *Group) targets(ctx context.Context) []string {
	list := append([]string{}, g.opts.peers...)
	if g.opts.list != nil {
		hosts, _ := g.opts.list.Hosts(ctx)
		for _, h := range hosts {
			list = append(list, h.PeerAddress)
		}
	}
	for _, m := range g.Members() {
		list = append(list, m.PeerAddress)
	}
	return lo.Without(lo.Uniq(list), g.Self().PeerAddress)
}

func (g *Group) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, period.Duration())
	defer cancel()
	ack, err := g.opts.transport.Ping(ctx, address, Ping{Self: g.Self(), Records: g.Members()})
	if err == nil {
		g.learn(ack.Self, ack.Records)
	}
}

func (g *Group) learn(from cicadapitch.Member, records []cicadapitch.Member) {
	g.mu.Lock()
	now := g.opts.clock.Now()
	changed := false
	for i, m := range append([]cicadapitch.Member{from}, records...) {
		old, ok := g.others[m.Host]
		newer := !ok || m.Started > old.member.Started ||
			(m.Started == old.member.Started && m.Version >= old.member.Version)
		if m.Host == g.self.Host || !newer || (ok && i > 0 && m.Version == old.member.Version) {
			continue
		}
		g.others[m.Host] = known{member: m, heard: now}
		changed = changed || !ok || m.Version != old.member.Version
	}
	g.mu.Unlock()
	if changed {
		g.notify()
	}
}

func (g *Group) expire() {
	g.mu.Lock()
	now := g.opts.clock.Now()
	n := len(g.others)
	for id, k := range g.others {
		if now.Sub(k.heard) > expires {
			delete(g.others, id)
		}
	}
	changed := n != len(g.others)
	g.mu.Unlock()
	if changed {
		g.notify()
	}
}

func (g *Group) notify() {
	g.mu.RLock()
	subs := g.subs
	g.mu.RUnlock()
	members := g.Members()
	for _, fn := range subs {
		fn(members)
	}
}
