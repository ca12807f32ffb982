package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
)

// callRollout is the name of the call that reports to the owner of a rollout, as sent on the wire.
const callRollout = "rollout"

const (
	// rolloutInterval is the pause between two reports of a host.
	rolloutInterval cicadapitch.Millis = 250
	// rolloutTimeout bounds a report, so that the next owner is asked before the last answer is too old.
	rolloutTimeout cicadapitch.Millis = 500
)

// RolloutReport tells the owner of a rollout what callers of the sender got, and what runs there.
type RolloutReport struct {
	Host    cicadapitch.HostID
	Service catalog.ServiceID
	// Order is the number of the revision of the order, which leads to the version To.
	Order  int64
	To     cicadapitch.SoftwareVersion
	Report canary.Report
	// Longest is an estimate of the longest call of the service's routes, or 0 if there was none lately.
	// Timeout is the longest time that one may last.
	Longest, Timeout cicadapitch.Millis
}

// check returns an Invalid error if a figure of a report is out of range, but for those that canary bounds.
func (m *RolloutReport) check() error {
	for field, value := range map[string]cicadapitch.Millis{"Longest": m.Longest, "Timeout": m.Timeout} {
		if value < 0 || int64(value) > maxCallTime {
			return cicadapitch.NewOutOfRange("rollout report: "+field, strconv.FormatInt(int64(value), 10), 0, maxCallTime)
		}
	}
	return nil
}

// RolloutAnswer is the answer to a RolloutReport.
type RolloutAnswer struct {
	// Known is false if the receiver does not know the order.
	Known bool
	Phase canary.Phase
	Share float64
}

// check returns an Invalid error if a figure of an answer is out of range.
func (a RolloutAnswer) check() error {
	if !a.Phase.IsAPhase() || !(a.Share >= 0 && a.Share <= 1) {
		return cicadapitch.NewError(cicadapitch.Invalid, "the phase or the share of a rollout is out of range", "run the same version on every host")
	}
	return nil
}

// rollouts holds this host's part in the rollouts of all services.
type rollouts struct {
	// byService is nil while there is neither an order nor a version that was rolled back.
	byService atomic.Pointer[map[catalog.ServiceID]*rollout]
	// wake has an element once there may be something to report.
	wake chan struct{}
}

func newRollouts() *rollouts { return &rollouts{wake: make(chan struct{}, 1)} }

// of returns the rollout of a service, or nil.
func (r *rollouts) of(s catalog.ServiceID) *rollout {
	if m := r.byService.Load(); m != nil {
		return (*m)[s]
	}
	return nil
}

// forbids reports whether an endpoint gets no requests since its version was rolled back or replaced.
func (r *rollouts) forbids(e catalog.Endpoint) bool {
	ro := r.of(e.Service)
	return ro != nil && ro.forbids(e.Version)
}

// setRollouts applies the rollouts of a view. Only SetView calls it.
func (g *Gateway) setRollouts(v *fleet.View) {
	current := g.rollouts.byService.Load()
	if v.Rollouts == nil {
		if current != nil {
			g.rollouts.byService.Store(nil)
		}
		return
	}
	now, next := g.clock.Now(), map[catalog.ServiceID]*rollout{}
	for service, known := range v.Rollouts {
		if _, rejected := known.Status.Rejected(); known.Order.Revision == 0 && !rejected {
			continue
		}
		r := g.rollouts.of(service)
		if r == nil || r.order.Revision != known.Order.Revision {
			r = newRollout(known, service, g.metrics)
		}
		if r.update(now, known, v) {
			g.logPhase(r, "store")
		}
		next[service] = r
	}
	if len(next) == 0 {
		g.rollouts.byService.Store(nil)
		return
	}
	g.rollouts.byService.Store(&next)
	select {
	case g.rollouts.wake <- struct{}{}:
	default:
	}
}

// logPhase logs and counts that a phase has come into force at this host.
func (g *Gateway) logPhase(r *rollout, from string) {
	r.mu.Lock()
	phase, share := r.phase, r.share
	r.mu.Unlock()
	g.log.Info().Str("Service", string(r.service)).Str("To", string(r.order.To)).Int64("Revision", r.order.Revision.Number()).
		Stringer("Phase", phase).Float64("Share", share).Str("From", from).Msg("rollout phase")
	g.metrics.Tagged(map[string]string{"Service": string(r.service), "Phase": phase.String()}).Counter("RolloutPhases").Inc(1)
}

// RunRollouts reports to the owners of rollouts and decides those that this host owns, until ctx ends.
// Without an order it only waits.
func (g *Gateway) RunRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		active := g.activeRollouts()
		if len(active) == 0 {
			select {
			case <-g.rollouts.wake:
			case <-ctx.Done():
			}
			continue
		}
		for _, r := range active {
			g.reportRollout(ctx, r)
			g.decideRollout(r, g.runningHosts())
		}
		// Sleep fails only if ctx has ended, which the loop checks.
		_ = g.clock.Sleep(ctx, rolloutInterval)
	}
}

// activeRollouts returns the rollouts of configured services that are not settled.
func (g *Gateway) activeRollouts() []*rollout {
	m, c := g.rollouts.byService.Load(), g.membership.View().Catalog
	if m == nil || c == nil {
		return nil
	}
	return lo.Filter(lo.Values(*m), func(r *rollout, _ int) bool {
		if r.settled() {
			return false
		}
		if c.Services[r.service] == nil && !r.warned.Swap(true) {
			g.log.Warn().Str("Service", string(r.service)).Str("To", string(r.order.To)).Int64("Revision", r.order.Revision.Number()).
				Str("Remedy", "configure the service or withdraw the order").Msg("rollout order of a service that is not configured waits")
		}
		return c.Services[r.service] != nil
	})
}

// rolloutKey is the key by which hosts own a rollout.
func rolloutKey(s catalog.ServiceID) string { return "rollout/" + string(s) }

// rolloutOwner returns the host to report to: the first owner that knows the call.
func (g *Gateway) rolloutOwner(r *rollout) fleet.Host {
	owners := g.membership.OwnersOf(rolloutKey(r.service))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range owners {
		if !r.refused[h.Incarnation] {
			return h
		}
	}
	return owners[0]
}

// reportRollout reports to the owner of a rollout in the background, unless a report is on its way.
func (g *Gateway) reportRollout(ctx context.Context, r *rollout) {
	owner := g.rolloutOwner(r)
	self, dialer := g.membership.IsSelf(owner), g.membership.Dialer()
	r.mu.Lock()
	busy := r.reporting || !self && dialer == nil
	r.reporting = r.reporting || !busy
	r.mu.Unlock()
	if busy {
		return
	}
	sentAt := g.clock.Now()
	message := RolloutReport{
		Host: g.host, Service: r.service, Order: r.order.Revision.Number(), To: r.order.To,
	}
	// The phase is read before the calls: none begins at the old version once Completed is in force.
	phase := r.phaseInForce()
	message.Report = r.report(sentAt, phase, g.runningCalls(r.service))
	message.Longest, message.Timeout = g.callBounds(sentAt, r)
	if self {
		g.endReport(ctx, r, owner, sentAt, g.takeReport(message), nil)
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, rolloutTimeout.Duration())
		defer cancel()
		a, err := peer.Call[RolloutReport, RolloutAnswer](callCtx, dialer, owner.Peers, callRollout, message)
		if err == nil {
			err = a.check()
		}
		g.endReport(ctx, r, owner, sentAt, a, err)
	}()
}

// endReport applies the answer to a report. A host that has a new phase in force says so at once.
func (g *Gateway) endReport(ctx context.Context, r *rollout, owner fleet.Host, sentAt cicadapitch.Instant, a RolloutAnswer, err error) {
	changed := false
	if err == nil && a.Known {
		changed = r.applyAnswer(g.clock.Now(), sentAt, a)
	}
	r.mu.Lock()
	r.reporting = false
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		r.refused[owner.Incarnation] = true
	}
	r.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.membership.RecordEnded(owner)
	}
	if err != nil {
		g.log.Warn().Str("Service", string(r.service)).Str("Owner", string(owner.ID)).Err(err).Msg("reporting to the owner of a rollout failed")
	}
	if changed {
		g.logPhase(r, string(owner.ID))
	}
	g.shards.applyRollout(r.service)
	if changed {
		g.reportRollout(ctx, r)
	}
}

// runningCalls returns this host's running calls by endpoint: those of requests, and those of the pieces
// of a stage service.
func (g *Gateway) runningCalls(s catalog.ServiceID) map[cicadapitch.EndpointID]int {
	running := g.Loads()
	for id, n := range g.shards.runningCalls(s) {
		running[id] += n
	}
	return running
}

// callBounds estimates the longest call of the routes that have led to the service since the order, or of the
// pieces of a stage service, and returns the longest time that one may last. Both are 0 if there was none.
func (g *Gateway) callBounds(now cicadapitch.Instant, r *rollout) (longest, timeout cicadapitch.Millis) {
	for name, t := range r.routeTimeouts() {
		timeout = max(timeout, t)
		if m, ok := g.callTimes.longest(now, name); ok {
			longest = max(longest, min(m, t))
		}
	}
	if service := g.membership.View().Catalog.Services[r.service]; service != nil && service.Batch != nil {
		b := service.Batch
		call := b.CallTime + cicadapitch.Millis(b.PieceTime*float64(b.MaxPieces))
		longest, timeout = max(longest, 2*call), max(timeout, callTimeoutFactor*call, minSilenceTimeout)
	}
	return min(longest, cicadapitch.Millis(maxCallTime)), min(timeout, cicadapitch.Millis(maxCallTime))
}
