package gateway

import (
	"context"
	"slices"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// decisionInterval is the least time between two decisions of an owner, which gets up to some hundred
	// reports in each interval of a report.
	decisionInterval cicadapitch.Millis = 50
	// reporterAge is the time after its last report within which a host counts as alive even if it takes no
	// callers, such as one that stops.
	reporterAge = 6 * rolloutInterval
	// rolloutRetryMin and rolloutRetryMax bound the pause after a failed write of a rollout's progress.
	rolloutRetryMin cicadapitch.Millis = 250
	rolloutRetryMax                    = 4 * cicadapitch.Second
)

// ownerState is what the owner of a rollout holds.
type ownerState struct {
	judge    *canary.Judge
	decision canary.Decision
	// decidedAt is when the judge last decided.
	decidedAt cicadapitch.Instant
	reports   map[cicadapitch.HostID]receivedReport
	// announced is the phase of the answers.
	announced canary.Phase
	// storing is true while a write runs, retryAt and pause bound the next one after a failure.
	storing bool
	retryAt cicadapitch.Instant
	pause   cicadapitch.Millis
}

// receivedReport is the last report of a host.
type receivedReport struct {
	at               cicadapitch.Instant
	phase            canary.Phase
	old              int
	longest, timeout cicadapitch.Millis
}

// completionMargin is taken off the time of an order: hosts know it up to 300 ms after it was written, and they
// confirm that nothing runs at the old version before the status says that a rollout is completed.
const completionMargin cicadapitch.Millis = 700

// takeReport takes a report of a host as the owner of its rollout, or as the host that is taken for it.
func (g *Gateway) takeReport(m RolloutReport) RolloutAnswer {
	r := g.rollouts.of(m.Service)
	if r == nil || r.order.Revision == 0 || m.Order != r.order.Revision.Number() || m.To != r.order.To {
		return RolloutAnswer{}
	}
	m.Report = m.Report.Checked()
	// The era differs if one of the two hosts has known the order since before an older copy of the store.
	m.Report.Revision = r.order.Revision
	running, now := g.runningHosts(), g.clock.Now()
	bounds := canary.Bounds{
		ExposureShare: g.bounds.RolloutShare, ExposureSlack: g.bounds.RolloutSlack, RollbackAfter: g.bounds.RollbackDelay,
	}
	r.mu.Lock()
	o := r.openOwnerState(bounds)
	if m.Report.Phase > o.announced {
		// An earlier owner has announced it.
		o.judge.Recorded(canary.State{Revision: r.order.Revision, Phase: m.Report.Phase, Since: now})
		o.announce(m.Report.Phase)
	}
	o.judge.Report(now, string(m.Host), m.Report)
	o.reports[m.Host] = receivedReport{at: now, phase: m.Report.Phase, old: m.Report.Old, longest: m.Longest, timeout: m.Timeout}
	r.mu.Unlock()
	g.decideRollout(r, running)
	r.mu.Lock()
	defer r.mu.Unlock()
	a := RolloutAnswer{Known: true, Phase: o.announced, Share: o.decision.Share}
	if o.announced == canary.Canary {
		if o.decision.Phase == canary.Shift {
			a.Share = bounds.CanaryShare() // the shift is being stored
		}
		a.Share = loadShare(now, a.Share, r.oldCount)
	}
	return a
}

const (
	// loadPeriod is the period of the share of a service with few endpoints: long enough that each part of it
	// lasts several reports.
	loadPeriod = 3 * cicadapitch.Second
	// maxLoadShare bounds the share within a period.
	maxLoadShare = 0.25
)

// loadShare returns the share in Canary for now, whose mean is share. Where even one endpoint of the new version
// would get less than one of the old ones, it gets as much as these for a part of each period, and nothing for
// the rest: a version may be bad only under load.
func loadShare(now cicadapitch.Instant, share float64, oldCount int) float64 {
	equal := min(1/float64(oldCount+1), maxLoadShare)
	if share <= 0 || share >= equal {
		return share
	}
	if at := now % cicadapitch.Instant(loadPeriod); float64(at) < share/equal*float64(loadPeriod) {
		return equal
	}
	return 0
}

// takeReportOfOther is takeReport for another host. The error is Invalid if a figure is out of range.
func (g *Gateway) takeReportOfOther(_ context.Context, m RolloutReport) (RolloutAnswer, error) {
	if err := m.check(); err != nil {
		g.log.Warn().Str("Host", string(m.Host)).Str("Service", string(m.Service)).Err(err).Msg("rollout report of another host rejected")
		return RolloutAnswer{}, err
	}
	return g.takeReport(m), nil
}

// runningHosts returns the hosts that may have requests, by id.
func (g *Gateway) runningHosts() map[cicadapitch.HostID]bool {
	running := map[cicadapitch.HostID]bool{}
	for _, h := range g.membership.RunningHosts() {
		running[h.ID] = true
	}
	return running
}

// openOwnerState returns what this host holds as the owner, and creates it with the first report. The caller holds mu.
func (r *rollout) openOwnerState(bounds canary.Bounds) *ownerState {
	if r.owner != nil {
		return r.owner
	}
	order := r.order
	order.Duration -= min(completionMargin, order.Duration/10)
	state := canary.State{Revision: r.order.Revision, Phase: r.phase, Since: r.phaseSince}
	if p := r.known.Progress; p.Of(r.order) {
		if p.At > 0 && p.At < order.At && order.At.Sub(p.At) < order.Duration {
			order.At = p.At // the first host's deadline counts
		}
		if p.Phase >= state.Phase {
			state.Phase, state.Since = p.Phase, p.Since
		}
	}
	var opts []canary.Option
	if r.known.Progress.Of(r.order) || state.Phase > canary.Canary {
		opts = append(opts, canary.WithState(state))
	}
	r.owner = &ownerState{
		judge:   canary.NewJudge(order, bounds, opts...),
		reports: map[cicadapitch.HostID]receivedReport{}, announced: state.Phase,
	}
	return r.owner
}

// decide lets the judge decide, at most once in decisionInterval, and reports whether the decided phase has
// changed. The caller holds mu, and owner is set.
func (r *rollout) decide(now cicadapitch.Instant, running map[cicadapitch.HostID]bool) bool {
	o := r.owner
	if p := r.known.Progress; p.Of(r.order) {
		if p.Phase != canary.Canary {
			o.judge.Recorded(canary.State{Revision: r.order.Revision, Phase: p.Phase, Since: p.Since})
		}
		o.announce(p.Phase)
	}
	if o.decidedAt > 0 && now.Sub(o.decidedAt) < decisionInterval {
		return false
	}
	first := o.decidedAt == 0
	longest := cicadapitch.Millis(0)
	for _, rep := range o.reports {
		longest = max(longest, rep.longest)
	}
	before := o.decision.Phase
	o.judge.SetEndpoints(r.serving())
	o.decision, o.decidedAt = o.judge.Decide(now, o.live(now, running), longest), now
	// A rollback is announced at once. So is the end of a shift, which changes only where streams go on; what
	// operators read has to wait until all hosts have confirmed it.
	if o.decision.Phase.Final() {
		o.announce(o.decision.Phase)
	}
	return first || o.decision.Phase != before
}

// announce changes the phase of the answers unless it is an earlier one.
func (o *ownerState) announce(p canary.Phase) {
	if p > o.announced {
		o.announced = p
	}
}

// live returns the hosts that may have requests: running ones, and those that have reported lately, such as
// one that stops. A host that does not answer this one counts, since it may serve on.
func (o *ownerState) live(now cicadapitch.Instant, running map[cicadapitch.HostID]bool) []string {
	var live []string
	for id := range running {
		live = append(live, string(id))
	}
	for id, rep := range o.reports {
		if !running[id] && now.Sub(rep.at) < reporterAge {
			live = append(live, string(id))
		}
	}
	slices.Sort(live)
	return live
}

// wanted returns the phase that the store should have, and whether it lacks it or its status. The caller
// holds mu.
func (r *rollout) wanted(now cicadapitch.Instant, running map[cicadapitch.HostID]bool) (canary.Phase, bool) {
	o, p, status := r.owner, r.known.Progress, r.known.Status
	phase := max(o.decision.Phase, o.announced)
	if phase == canary.Completed && !o.emptied(now, r.order, running) {
		// Operators read that a rollout is completed only once no host has anything at the old version.
		phase = canary.Shift
	}
	if !p.Of(r.order) || phase > p.Phase {
		return phase, true
	}
	phase = p.Phase
	sameState := status.Phase == phase || !status.Phase.Final() && !phase.Final()
	return phase, status.Revision == 0 || status.To != r.order.To || !sameState
}

// emptied reports whether all hosts have said that nothing runs at the old version since they know that
// the rollout is completed, or have had the time of the longest request since the deadline.
func (o *ownerState) emptied(now cicadapitch.Instant, order canary.Order, running map[cicadapitch.HostID]bool) bool {
	timeout := cicadapitch.Millis(0)
	for _, rep := range o.reports {
		timeout = max(timeout, rep.timeout)
	}
	if now > order.Deadline().Add(timeout) {
		return true
	}
	for _, id := range o.live(now, running) {
		rep, ok := o.reports[cicadapitch.HostID(id)]
		if !ok || rep.phase != canary.Completed || rep.old > 0 {
			return false
		}
	}
	return true
}

// decideRollout decides a rollout that other hosts, or this one, report to, and writes what the store lacks if
// this host is the owner. A rollback is written by each host that has decided it.
func (g *Gateway) decideRollout(r *rollout, running map[cicadapitch.HostID]bool) {
	owner, now := g.membership.IsSelf(g.rolloutOwner(r)), g.clock.Now()
	r.mu.Lock()
	o := r.owner
	if o == nil {
		r.mu.Unlock()
		return
	}
	changed := r.decide(now, running)
	phase, lacking := r.wanted(now, running)
	write := lacking && !o.storing && now >= o.retryAt && (owner || phase == canary.RolledBack)
	o.storing = o.storing || write
	known := r.known
	r.mu.Unlock()
	if changed {
		g.logDecision(r)
	}
	if write {
		go g.storeRollout(r, known, r.progress(now, known, phase))
	}
}

// progress returns what the store should have of the rollout in a phase.
func (r *rollout) progress(now cicadapitch.Instant, known fleet.Rollout, phase canary.Phase) fleet.RolloutProgress {
	p := fleet.RolloutProgress{Order: r.order.Revision.Number(), To: r.order.To, Phase: phase, At: r.order.At, Since: now}
	if known.Progress.Of(r.order) {
		p.At = known.Progress.At
		if known.Progress.Phase == phase {
			p.Since = known.Progress.Since
		}
	}
	return p
}

// storeRollout writes the progress of a rollout. After a failure, the next tick of RunRollouts writes again,
// once the pause is over.
func (g *Gateway) storeRollout(r *rollout, known fleet.Rollout, p fleet.RolloutProgress) {
	err := g.membership.StoreRollout(context.Background(), known, p)
	now := g.clock.Now()
	r.mu.Lock()
	o := r.owner
	o.storing, o.pause = false, min(max(2*o.pause, rolloutRetryMin), rolloutRetryMax)
	if err == nil {
		o.pause = 0
	}
	o.retryAt = now.Add(o.pause)
	r.mu.Unlock()
	g.log.Info().Str("Service", string(r.service)).Str("To", string(p.To)).Stringer("Phase", p.Phase).Int64("Revision", p.Order).
		Err(err).Msg("rollout stored")
}

// logDecision logs the decision of the owner with its evidence.
func (g *Gateway) logDecision(r *rollout) {
	now := g.clock.Now()
	r.mu.Lock()
	o := r.owner
	d, hosts, oldest := o.decision, len(o.reports), cicadapitch.Millis(0)
	for _, rep := range o.reports {
		oldest = max(oldest, now.Sub(rep.at))
	}
	oldCount, hasNew := r.oldCount, r.hasNew
	r.mu.Unlock()
	event := g.log.Info()
	if !hasNew {
		event = g.log.Warn().Str("Remedy", "start endpoints of the version or withdraw the order")
	}
	evidence := zerolog.Arr()
	for _, e := range d.Evidence {
		evidence.Dict(zerolog.Dict().Str("Route", e.Route).Bool("All", e.All).Stringer("Test", e.Test).
			Int64("OldAnswers", e.Old.Answers).Int64("OldBad", e.Old.Bad).Int64("NewAnswers", e.New.Answers).Int64("NewBad", e.New.Bad).
			Int64("ThresholdMs", int64(e.Threshold)).Float64("Ratio", e.Ratio).Float64("Limit", e.Limit))
	}
	event.Str("Service", string(r.service)).Str("To", string(r.order.To)).Int64("Revision", r.order.Revision.Number()).
		Stringer("Phase", d.Phase).Float64("Share", d.Share).Str("Reason", d.Reason).Array("Evidence", evidence).
		Strs("Waiting", d.Waiting).Int("Hosts", hosts).Int64("OldestReportMs", int64(oldest)).
		Int("OldEndpoints", oldCount).Bool("NewEndpoints", hasNew).Int64("LeftMs", int64(d.Deadline.Sub(now))).Msg("rollout decision")
	g.metrics.Tagged(map[string]string{"Service": string(r.service), "Phase": d.Phase.String()}).Counter("RolloutDecisions").Inc(1)
}
