package host

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Group knows the entry hosts and tells them of this one. It runs a Core: the
// Core decides and the Group carries the pings.
type Group struct {
	opts options
	// changed wakes the notifications.
	changed chan struct{}
	pings   sync.WaitGroup

	mu   sync.RWMutex
	core *Core
	seen uint64
	subs []func([]cicadapitch.Member)
	// outgoing takes commands of Update while Run runs.
	outgoing func([]Command)
	hints    map[cicadapitch.HostID]cicadapitch.Instant
}

// New returns a group that knows only self.
func New(self cicadapitch.Member, opts ...Option) *Group {
	o := newOptions(opts)
	return &Group{
		opts:    o,
		changed: make(chan struct{}, 1),
		core:    NewCore(self, o.peers, o.seed, o.clock.Now()),
		hints:   make(map[cicadapitch.HostID]cicadapitch.Instant),
	}
}

// Run keeps the membership until ctx ends, which returns nil. A host that is
// leaving says goodbye before. Run returns a Conflict error if a later process
// runs under the same host id.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer g.pings.Wait()
	defer cancel()
	g.setOutgoing(func(cmds []Command) { g.send(ctx, cmds) })
	defer g.setOutgoing(nil)
	g.pings.Go(func() { g.notify(ctx) })
	g.pings.Go(func() { g.followList(ctx) })
	g.wake()
	for {
		if err := g.opts.clock.Sleep(ctx, tick); err != nil {
			g.sayGoodbye()
			return nil
		}
		g.decide(func(c *Core, now cicadapitch.Instant) []Command { return c.Tick(now) })
		if g.replaced() {
			return cicadapitch.NewError(cicadapitch.Conflict,
				"another process runs under host id "+string(g.Self().Host),
				"stop this process or give it a host id of its own")
		}
	}
}

// Update changes the own record and tells other hosts where that is due.
func (g *Group) Update(change func(*cicadapitch.Member)) {
	g.decide(func(c *Core, _ cicadapitch.Instant) []Command { return c.Update(change) })
}

// Handle answers a ping of another host.
func (g *Group) Handle(ctx context.Context, p Ping) (Ack, error) {
	var ack Ack
	g.decide(func(c *Core, now cicadapitch.Instant) []Command {
		var cmds []Command
		ack, cmds = c.Receive(now, p)
		return cmds
	})
	if p.Target != "" {
		ack.Reached = g.relay(ctx, p)
	}
	return ack, nil
}

// relay pings a host for another one.
func (g *Group) relay(ctx context.Context, p Ping) bool {
	g.mu.Lock()
	cmd := g.core.Relay(p.Target)
	g.mu.Unlock()
	answer, err := g.carry(ctx, cmd)
	return err == nil && p.Reaches(answer)
}

// decide runs a step of the core under the lock and its commands after it.
func (g *Group) decide(step func(*Core, cicadapitch.Instant) []Command) {
	g.mu.Lock()
	cmds := step(g.core, g.opts.clock.Now())
	changed := g.core.Changes() != g.seen
	g.seen = g.core.Changes()
	if g.outgoing != nil {
		// Under the lock, so that none is sent after Run has ended.
		g.outgoing(cmds)
	}
	g.mu.Unlock()
	if changed {
		g.wake()
	}
}

func (g *Group) setOutgoing(fn func([]Command)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outgoing = fn
}

func (g *Group) send(ctx context.Context, cmds []Command) {
	for _, cmd := range cmds {
		g.pings.Go(func() { _, _ = g.carry(ctx, cmd) })
	}
}

// carry sends one ping and tells the core of its outcome.
func (g *Group) carry(ctx context.Context, cmd Command) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout.Duration())
	defer cancel()
	ack, err := g.opts.transport.Ping(ctx, cmd.Address, cmd.Ping)
	g.decide(func(c *Core, now cicadapitch.Instant) []Command {
		if err != nil {
			return c.Failed(now, cmd.ID)
		}
		return c.Answered(now, cmd, ack)
	})
	return ack, err
}

// goodbyeTimeout bounds the farewell of a leaving host.
const goodbyeTimeout cicadapitch.Millis = 300

// sayGoodbye tells some hosts that this one is gone for good, so that nobody
// has to find out.
func (g *Group) sayGoodbye() {
	if g.Self().State != cicadapitch.Leaving {
		return
	}
	g.mu.Lock()
	cmds := g.core.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Dead })
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTimeout.Duration())
	defer cancel()
	var farewells sync.WaitGroup
	for _, cmd := range cmds {
		farewells.Go(func() { _, _ = g.carry(ctx, cmd) })
	}
	farewells.Wait()
}

func (g *Group) replaced() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.core.Replaced()
}

func (g *Group) wake() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// notify calls the subscribers, one change after the other.
func (g *Group) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.changed:
		}
		g.mu.RLock()
		subs := g.subs
		g.mu.RUnlock()
		members := g.Members()
		for _, fn := range subs {
			fn(members)
		}
	}
}
