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
	// changeSignal wakes the notifications.
	changeSignal chan struct{}
	tasks        sync.WaitGroup

	mu              sync.RWMutex
	core            *Core
	notifiedChanges uint64
	subscribers     []func([]cicadapitch.Member)
	// sender takes commands of Update while Run runs.
	sender        func([]Command)
	listedLeaving map[cicadapitch.HostID]cicadapitch.Instant
}

// New returns a group that knows only self.
func New(self cicadapitch.Member, opts ...Option) *Group {
	o := newOptions(opts)
	return &Group{
		opts:          o,
		changeSignal:  make(chan struct{}, 1),
		core:          NewCore(self, o.seeds, o.randomSeed, o.clock.Now()),
		listedLeaving: make(map[cicadapitch.HostID]cicadapitch.Instant),
	}
}

// Run keeps the membership until ctx ends, which returns nil. A host that is
// leaving says goodbye before. Run returns a Conflict error if a later process
// runs under the same host id.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer g.tasks.Wait()
	defer cancel()
	g.setSender(func(cmds []Command) { g.sendAll(ctx, cmds) })
	defer g.setSender(nil)
	g.tasks.Go(func() { g.notify(ctx) })
	g.tasks.Go(func() { g.pollHostList(ctx) })
	g.signalChange()
	for {
		if err := g.opts.clock.Sleep(ctx, tickInterval); err != nil {
			g.announceDeparture()
			return nil
		}
		g.runStep(func(c *Core, now cicadapitch.Instant) []Command { return c.Tick(now) })
		if g.replaced() {
			return cicadapitch.NewError(cicadapitch.Conflict,
				"another process runs under host id "+string(g.Self().Host),
				"stop this process or give it a host id of its own")
		}
	}
}

// Update changes the own record and tells other hosts where that is due.
func (g *Group) Update(change func(*cicadapitch.Member)) {
	g.runStep(func(c *Core, _ cicadapitch.Instant) []Command { return c.Update(change) })
}

// Handle answers a ping of another host.
func (g *Group) Handle(ctx context.Context, p Ping) (Ack, error) {
	var ack Ack
	g.runStep(func(c *Core, now cicadapitch.Instant) []Command {
		var cmds []Command
		ack, cmds = c.HandlePing(now, p)
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
	answer, err := g.exchange(ctx, cmd)
	return err == nil && p.TargetAnswered(answer)
}

// runStep runs a step of the core under the lock and its commands after it.
func (g *Group) runStep(step func(*Core, cicadapitch.Instant) []Command) {
	g.mu.Lock()
	cmds := step(g.core, g.opts.clock.Now())
	changed := g.core.Changes() != g.notifiedChanges
	g.notifiedChanges = g.core.Changes()
	if g.sender != nil {
		// Under the lock, so that none is sent after Run has ended.
		g.sender(cmds)
	}
	g.mu.Unlock()
	if changed {
		g.signalChange()
	}
}

func (g *Group) setSender(fn func([]Command)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sender = fn
}

func (g *Group) sendAll(ctx context.Context, cmds []Command) {
	for _, cmd := range cmds {
		g.tasks.Go(func() { _, _ = g.exchange(ctx, cmd) })
	}
}

// exchange sends one ping and tells the core of its outcome.
func (g *Group) exchange(ctx context.Context, cmd Command) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout.Duration())
	defer cancel()
	ack, err := g.opts.transport.Ping(ctx, cmd.Address, cmd.Ping)
	g.runStep(func(c *Core, now cicadapitch.Instant) []Command {
		if err != nil {
			return c.HandleFailure(now, cmd.ID)
		}
		return c.HandleAck(now, cmd, ack)
	})
	return ack, err
}

// departureTimeout bounds the farewell of a leaving host.
const departureTimeout cicadapitch.Millis = 300

// announceDeparture tells some hosts that this one is gone for good, so that nobody
// has to find out.
func (g *Group) announceDeparture() {
	if g.Self().State != cicadapitch.Leaving {
		return
	}
	g.mu.Lock()
	cmds := g.core.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Dead })
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout.Duration())
	defer cancel()
	var sends sync.WaitGroup
	for _, cmd := range cmds {
		sends.Go(func() { _, _ = g.exchange(ctx, cmd) })
	}
	sends.Wait()
}

func (g *Group) replaced() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.core.Replaced()
}

func (g *Group) signalChange() {
	select {
	case g.changeSignal <- struct{}{}:
	default:
	}
}

// notify calls the subscribers, one change after the other.
func (g *Group) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.changeSignal:
		}
		g.mu.RLock()
		subscribers := g.subscribers
		g.mu.RUnlock()
		members := g.Members()
		for _, fn := range subscribers {
			fn(members)
		}
	}
}
