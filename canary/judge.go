package canary

import (
	"fmt"
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// defaultExposureShare and defaultExposureSlack are the bounds of orders without any.
	defaultExposureShare = 0.1
	defaultExposureSlack = 50
	// shareOfExposure is the share in Canary as a part of the exposure that is allowed. The rest is for
	// what the hosts' splitters cannot see: chance in few requests, second attempts at the new version, and
	// requests that reach the service but no endpoint.
	shareOfExposure = 0.8
	// maxCanaryShare bounds the share in Canary, so that the old version remains to compare with.
	maxCanaryShare = 0.25
	// shiftTime is the time that a shift takes beside the longest call: reports and answers to them (250 ms
	// each way at worst), two writes to the store, and one attempt more at each.
	shiftTime = 2 * cicadapitch.Second
	// completeTime is how long before the deadline a shift ends at the earliest, for the write of the status and a
	// second attempt at it. Until then a version that is bad under the whole load can still be rolled back.
	completeTime = cicadapitch.Second
	// unknownLongest is taken as the longest call if it is not known.
	unknownLongest = 30 * cicadapitch.Second
	// maxLongest bounds the longest call.
	maxLongest = 24 * 60 * cicadapitch.Minute
	// minCanaryTime is how long endpoints of the new version serve in Canary at least if they come late, but
	// at most half of the order's duration.
	minCanaryTime = 10 * cicadapitch.Second
	// minTested is the number of answers of the new version that show a successor that it has served before.
	minTested = 50
)

// Option configures a Judge.
type Option func(*Judge)

// WithState resumes a rollout from the record of an earlier owner. A record of another order has no
// effect.
func WithState(s State) Option {
	return func(j *Judge) {
		j.resumed = s.Revision == j.order.Revision
		j.Recorded(s)
	}
}

// Judge decides one rollout at the owner. It is not safe for concurrent use.
type Judge struct {
	order  Order
	bounds Bounds
	// state is what was decided. recorded is set if the store holds its phase.
	state    State
	recorded bool
	reason   string
	// knownAt is when the order was first known, to an earlier owner or here.
	knownAt cicadapitch.Instant
	// resumed is set if an earlier owner left a record.
	resumed bool
	// servedAt is when endpoints of the new version were first there, or 0.
	servedAt  cicadapitch.Instant
	gathering *gathering
	tests     *tests
	// evidence called for the rollback.
	evidence []Evidence
}

// NewJudge returns the judge of an order.
func NewJudge(o Order, bounds Bounds, opts ...Option) *Judge {
	j := &Judge{
		order: o, bounds: bounds.withDefaults(), state: State{Revision: o.Revision, Since: o.At},
		reason: "the new version is tested", knownAt: o.At, gathering: newGathering(), tests: newTests(),
	}
	for _, opt := range opts {
		opt(j)
	}
	return j
}

// withDefaults returns b with defaults for fields that are missing or out of range.
func (b Bounds) withDefaults() Bounds {
	if !(b.ExposureShare > 0 && b.ExposureShare <= 1) {
		b.ExposureShare = defaultExposureShare
	}
	if b.ExposureSlack <= 0 {
		b.ExposureSlack = defaultExposureSlack
	}
	return b
}

// CanaryShare returns the share of the requests that the new version gets in Canary.
func (b Bounds) CanaryShare() float64 {
	return min(shareOfExposure*b.withDefaults().ExposureShare, maxCanaryShare)
}

// Report takes a report of a host. Reports may be lost, late, repeated or out of order.
func (j *Judge) Report(now cicadapitch.Instant, host string, r Report) {
	if r.Revision == j.order.Revision {
		j.gathering.add(now, host, r)
	}
}

// SetEndpoints sets the numbers of endpoints that may serve: those of the old version, and those of the
// new version that requests are sent to in the current phase. Without endpoints of the new version, a
// rollout stays in Canary. Both are 0 until the first call.
func (j *Judge) SetEndpoints(oldCount, newCount int) {
	j.tests.load.oldEndpoints, j.tests.load.newEndpoints = max(oldCount, 0), max(newCount, 0)
}

// Decide returns the decision for now. live are the hosts that are alive, by the names of their reports.
// longest is the longest time that a call of the service's routes may take, 0 if that is not known.
//
// A phase that changes takes effect in this order: the owner writes State to the store, calls Recorded,
// and then tells the hosts. Only a rollback is told at once.
func (j *Judge) Decide(now cicadapitch.Instant, live []string, longest cicadapitch.Millis) Decision {
	if longest <= 0 {
		longest = unknownLongest
	}
	longest = min(longest, maxLongest)
	d := Decision{Deadline: j.deadline(longest)}
	if err := j.order.Check(); err != nil {
		d.Phase, d.Reason = j.state.Phase, err.Error()
		return d
	}
	if j.servedAt == 0 && j.serves() {
		j.servedAt = now
	}
	j.test(now)
	d.ShiftAt = j.shiftAt(longest)
	if j.state.Phase == Canary && j.serves() && now >= d.ShiftAt {
		if e, bad := j.tests.final(); bad {
			j.rollBack(now, []Evidence{e})
		} else {
			j.enter(Shift, now, "the new version passed the tests until it was time for the shift")
		}
	}
	if j.state.Phase == Shift {
		d.Waiting = j.complete(now, live, longest)
	}
	d.Phase, d.Reason, d.Evidence = j.state.Phase, j.reason, j.evidence
	if d.Phase != RolledBack {
		d.Evidence = j.tests.strongest
	}
	d.Share = j.share()
	if j.state.Phase == Canary && !j.serves() {
		d.Reason = fmt.Sprintf("no endpoint of version %s serves yet; start endpoints of this version or withdraw the order", j.order.To)
	}
	return d
}

// deadline returns when a good version is to be completed. A successor that knows the order late takes it from the
// record of the shift.
func (j *Judge) deadline(longest cicadapitch.Millis) cicadapitch.Instant {
	at := j.knownAt.Add(j.order.Duration)
	if j.resumed && j.state.Phase == Shift {
		at = min(at, j.state.Since.Add(min(longest+shiftTime, j.order.Duration/2)))
	}
	return at
}

// serves reports whether there are endpoints of the new version.
func (j *Judge) serves() bool { return j.tests.load.newEndpoints > 0 }

// shiftAt returns when Shift begins: as late as the longest call allows, since a version may turn bad late. It is at
// least half of the duration after the order, and some time after the first endpoints of the new version, since
// an untested version must not get all requests.
func (j *Judge) shiftAt(longest cicadapitch.Millis) cicadapitch.Instant {
	if j.state.Phase == Shift {
		return j.state.Since
	}
	half := j.order.Duration / 2
	at := max(j.deadline(longest).Add(-longest-shiftTime), j.deadline(longest).Add(-half))
	if j.resumed && j.gathering.newAnswers() >= minTested {
		return at
	}
	return max(at, j.servedAt.Add(min(half, minCanaryTime)))
}

// test compares the versions and rolls a bad one back.
func (j *Judge) test(now cicadapitch.Instant) {
	if j.state.Phase.Final() {
		return
	}
	j.tests.look(now, j.gathering, j.state.Phase)
	if j.tests.bad {
		j.rollBack(now, j.tests.strongest)
	} else if j.state.Phase == Canary {
		if e, bad := j.tests.checkpoint(j.gathering.newAnswers()); bad {
			j.rollBack(now, []Evidence{e})
		}
	}
}

// rollBack ends the rollout. The first evidence is the one that calls for it.
func (j *Judge) rollBack(now cicadapitch.Instant, evidence []Evidence) {
	j.evidence = evidence
	j.enter(RolledBack, now, evidence[0].describe())
}

// complete ends Shift if nothing runs at the old version, and returns hosts that keep it from the end. It waits
// for hosts that are silent and for calls that run, but past the deadline only for as long as the longest call takes.
func (j *Judge) complete(now cicadapitch.Instant, live []string, longest cicadapitch.Millis) (waiting []string) {
	for _, host := range live {
		if !j.gathering.ready(now, host) {
			waiting = append(waiting, host)
		}
	}
	slices.Sort(waiting)
	missing := len(waiting)
	waiting = waiting[:min(missing, MaxWaiting)]
	// No call begins at the old version once the shift is in force.
	inForce := j.gathering.shiftAt
	switch {
	case !j.serves() || len(live) == 0 || inForce == 0:
	case now < j.deadline(longest).Add(-completeTime):
		// The new version is tested under the whole load until then.
	case missing == 0:
		j.enter(Completed, now, "every host sends to the new version and nothing runs at the old one")
	case now >= max(j.deadline(longest), inForce.Add(shiftTime)).Add(longest):
		j.enter(Completed, now, fmt.Sprintf("no call can still run at the old version; %d hosts did not confirm it, such as %s",
			missing, waiting[0]))
	}
	return waiting
}

// enter begins a phase.
func (j *Judge) enter(p Phase, now cicadapitch.Instant, reason string) {
	j.state.Phase, j.state.Since = p, now
	j.recorded, j.reason = false, reason
}

// share returns the share of the requests for the new version.
func (j *Judge) share() float64 {
	switch j.state.Phase {
	case Shift, Completed:
		return 1
	case Canary:
		if j.serves() {
			return j.bounds.CanaryShare()
		}
	case RolledBack:
	}
	return 0
}

// State returns the record to write to the store.
func (j *Judge) State() State { return j.state }

// Recorded tells the judge which record the store holds, its own or that of another owner. The recorded
// phase wins over one that the judge has decided but that is not recorded. A phase never moves
// back, and a recorded final phase never changes.
func (j *Judge) Recorded(s State) {
	if s.Revision != j.order.Revision || !s.Phase.IsAPhase() {
		return
	}
	if s.Since <= 0 {
		s.Since = j.order.At
	}
	switch {
	case s.Phase == Canary && j.state.Phase == Canary:
		// A successor knows the order later than the first owner.
		j.knownAt = min(j.knownAt, s.Since)
		j.state.Since = j.knownAt
	case s.Phase == j.state.Phase:
		j.state, j.recorded = s, true
	case j.recorded && j.state.Phase.Final():
	case s.Phase.Final() || s.Phase > j.state.Phase:
		j.state, j.recorded = s, true
		j.reason = "the record in the store says so"
	}
}

// describe says in plain words what the test found.
func (e Evidence) describe() string {
	where := "all routes together"
	if !e.All {
		where = "route " + e.Route
	}
	what := "failed"
	if e.Test == Slowness {
		what = "were slow"
		if e.Threshold > 0 {
			what = fmt.Sprintf("took more than %d ms", e.Threshold)
		}
	}
	return fmt.Sprintf("%d of %d answers of the new version %s on %s, and %d of %d of the old one",
		e.New.Bad, e.New.Answers, what, where, e.Old.Bad, e.Old.Answers)
}
