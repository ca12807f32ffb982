package host

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Group maintains the membership of the hosts of a deployment. It runs a Core
// and sends its pings over a Transport. Its methods are safe for concurrent use.
type Group struct {
	opts options
	// changeSignal wakes notify. Signals are merged while one is pending.
	changeSignal chan struct{}
	tasks        sync.WaitGroup

	mu   sync.RWMutex
	core *Core
	// signaledChanges is Core.Changes as of the latest change signal.
	signaledChanges uint64
	subscribers     []func([]cicadapitch.Member)
	// sender sends pings while Run runs and is nil otherwise.
	sender        func([]Command)
	listedLeaving map[cicadapitch.HostID]cicadapitch.Instant
}

// New returns a Group whose only member is self. Run starts it.
func New(self cicadapitch.Member, opts ...Option) *Group {
	o := newOptions(opts)
	return &Group{
		opts:          o,
		changeSignal:  make(chan struct{}, 1),
		core:          NewCore(self, o.seeds, o.randomSeed, o.clock.Now()),
		listedLeaving: make(map[cicadapitch.HostID]cicadapitch.Instant),
	}
}

// Run maintains the membership until ctx ends and then returns nil. If the host
// is Leaving by then, Run announces its departure first. Run returns a Conflict
// error if a later process runs under the same host id.
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

// Update applies change to the record of this host. While Run runs, a new State or
// a higher Revision is pushed to other hosts at once, and other changes are sent
// with later pings. Changes of Host, Incarnation, Started and the versions are
// ignored.
func (g *Group) Update(change func(*cicadapitch.Member)) {
	g.runStep(func(c *Core, _ cicadapitch.Instant) []Command { return c.Update(change) })
}

// Handle answers a ping of another host. If the ping has a Target, Handle pings
// that address before it answers. The error is always nil.
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

// relay pings the target of p and reports whether the expected host answers.
func (g *Group) relay(ctx context.Context, p Ping) bool {
	g.mu.Lock()
	cmd := g.core.NewRelayedPing(p.Target)
	g.mu.Unlock()
	answer, err := g.exchange(ctx, cmd)
	return err == nil && p.TargetAnswered(answer)
}

// runStep runs a step of the core under the lock, starts the pings that the step
// returns, and signals a change of the members.
func (g *Group) runStep(step func(*Core, cicadapitch.Instant) []Command) {
	g.mu.Lock()
	cmds := step(g.core, g.opts.clock.Now())
	changed := g.core.Changes() != g.signaledChanges
	g.signaledChanges = g.core.Changes()
	if g.sender != nil {
		// The lock ensures that no ping is sent after Run has returned.
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

// sendAll sends the pings concurrently and does not wait for their answers.
func (g *Group) sendAll(ctx context.Context, cmds []Command) {
	for _, cmd := range cmds {
		g.tasks.Go(func() { _, _ = g.exchange(ctx, cmd) })
	}
}

// exchange sends one ping and passes its answer or failure to the core.
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

// departureTimeout bounds the announcement of a departure.
const departureTimeout cicadapitch.Millis = 300

// announceDeparture sends the state Dead to a few hosts if this host is Leaving,
// so that the others remove it without first suspecting it.
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

// signalChange wakes notify, unless a signal is pending already.
func (g *Group) signalChange() {
	select {
	case g.changeSignal <- struct{}{}:
	default:
	}
}

// notify calls the subscribers in turn with the members after each change signal.
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
