package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// rolloutAnswerAge is the age from which the owner's last answer no longer allows requests for the new
	// version in Canary. It is four reports, so that one that is lost changes nothing.
	rolloutAnswerAge = cicadapitch.Second
	// settlingTime is the time after a host first knew an endpoint within which the times of its answers do
	// not count: connections are opened, and caches are empty.
	settlingTime = 3 * cicadapitch.Second
	// shiftFallback is how long after Shift has begun a host sends requests to the old version if the new
	// one cannot take them. After that, the old version runs empty.
	shiftFallback = cicadapitch.Second
)

// rollout is this host's part in the rollout of one service. It is safe for concurrent use; its methods
// call no other part of the gateway.
type rollout struct {
	service catalog.ServiceID
	// order has no revision if there is only a version that was rolled back.
	order   canary.Order
	metrics tally.Scope
	// warned is true once the log says that the service is not configured.
	warned atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// known is what the store has.
	known fleet.Rollout
	// seen holds the endpoints of the service that this host has known since the order.
	seen map[cicadapitch.EndpointID]seenEndpoint
	// hasOld and hasNew say whether there are endpoints of the versions, hasOld also of those that leave.
	hasOld, hasNew bool
	// oldCount and newCount are the numbers of endpoints of the versions that may get work.
	oldCount, newCount int
	// phase and share are in force at this host. The share is that of the owner's last answer, at
	// answeredAt.
	phase      canary.Phase
	phaseSince cicadapitch.Instant
	share      float64
	answeredAt cicadapitch.Instant
	// splitter turns the requests that were sent into requests that the new version is owed. owed is at
	// most 1; streams that go on at the new version make it negative.
	splitter *canary.Splitter
	owed     int
	// tally counts what callers get, calls holds the calls that run. routes holds the longest time of a request
	// by route.
	tally  *canary.Tally
	calls  map[callKey]*trackedCall
	routes map[string]cicadapitch.Millis
	// sessions holds the sessions of long prompts that this host has sent to the old (false) and to the new
	// version. passedOver counts the requests that the new version did not get although it is owed one.
	sessions   map[bool]map[string]struct{}
	passedOver int
	// reporting is true while a report is on its way. refused holds the incarnations of hosts that do not
	// know the call.
	reporting bool
	refused   map[string]bool
	// owner is set once other hosts, or this one, report here.
	owner *ownerState
}

// seenEndpoint is what a host knows of an endpoint.
type seenEndpoint struct {
	version         cicadapitch.SoftwareVersion
	firstAt, warmAt cicadapitch.Instant
}

// callKey identifies a call of an endpoint: by the request, which an endpoint gets once, or by the call of
// pieces.
type callKey struct {
	caller any
	id     cicadapitch.EndpointID
}

// trackedCall is a call that runs.
type trackedCall struct {
	*canary.Call
	version cicadapitch.SoftwareVersion
	// answered is true once the answer or its first event has come.
	answered bool
}

// newRollout returns a host's part in a rollout that the store has.
func newRollout(known fleet.Rollout, service catalog.ServiceID, metrics tally.Scope) *rollout {
	r := &rollout{
		service: service, order: known.Order, metrics: metrics,
		seen: map[cicadapitch.EndpointID]seenEndpoint{}, refused: map[string]bool{},
		calls: map[callKey]*trackedCall{}, sessions: map[bool]map[string]struct{}{}, routes: map[string]cicadapitch.Millis{},
		tally:    canary.NewTally(known.Order.Revision, strconv.FormatUint(rand.Uint64(), 36)),
		splitter: canary.NewSplitter(rand.Float64()),
	}
	if r.order.Revision == 0 {
		r.phase = canary.RolledBack
	}
	return r
}

// newVersion returns the version that the order leads to, or that was rolled back.
func (r *rollout) newVersion() cicadapitch.SoftwareVersion {
	if r.order.Revision == 0 {
		return r.known.Status.To
	}
	return r.order.To
}

// update applies what the store has, and a view. It reports whether the phase has changed.
func (r *rollout) update(now cicadapitch.Instant, known fleet.Rollout, v *fleet.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = known
	changed := false
	if known.Progress.Of(r.order) {
		changed = r.enter(now, known.Progress.Phase)
	}
	r.hasOld, r.oldCount, r.newCount = false, 0, 0
	for _, e := range v.Endpoints(r.service) {
		r.see(now, e)
		if e.Version == r.newVersion() {
			r.newCount++
		} else {
			r.hasOld = true
			r.oldCount++
		}
	}
	for _, e := range v.LeavingEndpoints(r.service) {
		r.see(now, e)
		r.hasOld = r.hasOld || e.Version != r.newVersion()
	}
	r.hasNew = r.newCount > 0
	return changed
}

// see records an endpoint. The caller holds mu.
func (r *rollout) see(now cicadapitch.Instant, e fleet.Endpoint) {
	seen, ok := r.seen[e.ID]
	if !ok || seen.version != e.Version {
		seen = seenEndpoint{version: e.Version, firstAt: now}
	}
	seen.warmAt = e.WarmAt
	r.seen[e.ID] = seen
}

// enter puts a phase into force, unless it is one before that in force, and reports whether it is another
// one. The caller holds mu.
func (r *rollout) enter(now cicadapitch.Instant, p canary.Phase) bool {
	if p <= r.phase {
		return false
	}
	r.phase, r.phaseSince = p, now
	return true
}

// settled reports whether the rollout is decided and the store says so, or there is no order.
func (r *rollout) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order.Revision == 0 || r.storeSettled()
}

// storeSettled reports whether the store has the end of the rollout and its status. The caller holds mu.
func (r *rollout) storeSettled() bool {
	p, s := r.known.Progress, r.known.Status
	return p.Of(r.order) && p.Phase.Final() && p.Phase == r.phase && s.Revision != 0 && s.Phase == p.Phase && s.To == p.To
}

// currentShare returns the share of the new version in Canary. The caller holds mu.
func (r *rollout) currentShare(now cicadapitch.Instant) float64 {
	if r.answeredAt == 0 || now.Sub(r.answeredAt) > rolloutAnswerAge {
		return 0
	}
	return r.share
}

// reservation is the choice of a version for one attempt. Its end has to be recorded once, with
// recordSent or release.
type reservation struct {
	rollout *rollout
	// isNew is true for an attempt at the new version.
	isNew bool
}

// rolloutRequest is what a rollout needs to know of a request.
type rolloutRequest struct {
	route string
	// timeout is the longest time that a request of the route may last.
	timeout cicadapitch.Millis
	// session identifies the part of the prompt that the requests of a session share, shared is its length.
	session string
	shared  cicadapitch.Tokens
}

// reserve chooses the version of the next attempt at a request.
func (r *rollout) reserve(now cicadapitch.Instant, req rolloutRequest) *reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.routes[req.route]; ok || len(r.routes) < canary.MaxRoutes {
		r.routes[req.route] = max(r.routes[req.route], req.timeout)
	}
	switch {
	case r.phase == canary.Shift || r.phase == canary.Completed:
		return &reservation{r, true}
	case r.phase == canary.Canary && r.owed > 0 && r.currentShare(now) > 0 && r.acceptsSession(req.session):
		r.owed--
		return &reservation{r, true}
	}
	return &reservation{r, false}
}

const (
	// favoredSessions is the part of the sessions that the new version gets requests of in Canary, as a
	// multiple of its share. It is above 1, so that the share is used up although some sessions are idle.
	favoredSessions = 1.5
	// maxPassedOver is the number of requests of other sessions after which one of them is taken, as a
	// multiple of 1/share. Among many sessions it is hardly ever reached.
	maxPassedOver = 3
)

// acceptsSession reports whether the new version, which is owed a request, gets one of a session. All hosts favor the
// same sessions, so that their prompts are cached at the new version as they are at the old one. The caller
// holds mu.
func (r *rollout) acceptsSession(session string) bool {
	if session == "" || float64(xxh3.HashString(strconv.FormatInt(r.order.Revision.Number(), 10)+"/"+session)) < favoredSessions*r.share*math.MaxUint64 {
		r.passedOver = 0
		return true
	}
	if r.passedOver++; float64(r.passedOver)*r.share < maxPassedOver {
		return false
	}
	r.passedOver = 0
	return true
}

// maxUncachedTokens is the length of a shared prompt that an engine reads in some 15 ms, and that does not make
// an answer slow.
const maxUncachedTokens cicadapitch.Tokens = 1000

// maxSessions bounds the sessions that a host remembers for each version.
const maxSessions = 8192

// cached reports whether the prompt of a request does not make its answer slow at a version: it is short, or
// this host has sent a request of the session there since the order. Without that, the new version would seem
// slow, since it has no prompts in its cache at first. The caller holds mu.
func (r *rollout) cached(req rolloutRequest, isNew bool) bool {
	if req.session == "" || req.shared <= maxUncachedTokens {
		return true
	}
	sessions := r.sessions[isNew]
	_, known := sessions[req.session]
	if sessions == nil || len(sessions) >= maxSessions && !known {
		sessions = map[string]struct{}{}
		r.sessions[isNew] = sessions
	}
	sessions[req.session] = struct{}{}
	return known
}

// recordSent records that the attempt has reached an endpoint.
func (s *reservation) recordSent(now cicadapitch.Instant, id cicadapitch.EndpointID) {
	r := s.rollout
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase != canary.Canary {
		return
	}
	if s.isNew {
		r.owed++
	}
	if r.seen[id].version == r.order.To {
		r.owed--
	}
	if r.splitter.Next(r.currentShare(now)) {
		r.owed++
	}
	r.owed = min(r.owed, 1)
}

// release records that nothing was sent.
func (s *reservation) release() {
	if s == nil || !s.isNew {
		return
	}
	s.rollout.mu.Lock()
	defer s.rollout.mu.Unlock()
	s.rollout.owed = min(s.rollout.owed+1, 1)
}

// candidates returns those of the endpoints in list that an attempt at the new or the old version may go
// to. Endpoints in exclude were tried already.
func (r *rollout) candidates(now cicadapitch.Instant, list []fleet.Endpoint, isNew bool, exclude map[cicadapitch.EndpointID]bool) []fleet.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ofOld, ofNew []fleet.Endpoint
	for _, e := range list {
		if e.Version == r.newVersion() {
			ofNew = append(ofNew, e)
		} else {
			ofOld = append(ofOld, e)
		}
	}
	if r.order.Revision == 0 {
		return firstNonEmpty(ofOld, ofNew)
	}
	ofOld = r.withoutRejected(ofOld)
	switch {
	case r.phase == canary.RolledBack:
		return ofOld
	case !r.hasOld:
		return ofNew // nothing is left to compare with
	case r.phase == canary.Canary && isNew:
		few := slices.DeleteFunc(r.few(now, ofNew, len(ofOld)), func(e fleet.Endpoint) bool { return exclude[e.ID] })
		return firstNonEmpty(few, ofOld)
	case r.phase == canary.Canary:
		return ofOld
	case !isNew && r.mayFallBack(now), len(ofNew) == 0:
		return ofOld
	}
	return ofNew
}

// firstNonEmpty returns a if it has elements, else b.
func firstNonEmpty(a, b []fleet.Endpoint) []fleet.Endpoint {
	if len(a) > 0 {
		return a
	}
	return b
}

// withoutRejected returns the endpoints without those of a version that was rolled back before the order,
// while others serve. The caller holds mu.
func (r *rollout) withoutRejected(list []fleet.Endpoint) []fleet.Endpoint {
	rejected, ok := r.known.Status.Rejected()
	if !ok {
		return list
	}
	others := slices.DeleteFunc(slices.Clone(list), func(e fleet.Endpoint) bool { return e.Version == rejected })
	return firstNonEmpty(others, list)
}

// few returns the endpoints in list, of the new version, that get its share in Canary beside the given number
// of old ones: as many as get the same
// share of the old ones' requests, so that each has about the load of an old one, the first in rendezvous
// order, warm ones before cold ones. The caller holds mu.
func (r *rollout) few(now cicadapitch.Instant, list []fleet.Endpoint, old int) []fleet.Endpoint {
	ranked := fleet.Rank(rolloutKey(r.service), list, func(e fleet.Endpoint) string { return string(e.ID) })
	slices.SortStableFunc(ranked, func(a, b fleet.Endpoint) int {
		switch aCold, bCold := a.Cold(now), b.Cold(now); {
		case aCold == bCold:
			return 0
		case bCold:
			return -1
		}
		return 1
	})
	return ranked[:min(r.fewCount(old), len(ranked))]
}

// fewCount returns the number of endpoints that get the new version's share in Canary, with the given number
// of old ones. The caller holds mu.
func (r *rollout) fewCount(old int) int { return max(int(math.Round(r.share*float64(old))), 1) }

// serving returns the numbers of endpoints that get requests of the old and of the new version. The caller
// holds mu.
func (r *rollout) serving() (old, isNew int) {
	if r.phase == canary.Canary {
		return r.oldCount, min(r.fewCount(r.oldCount), r.newCount)
	}
	return r.oldCount, r.newCount
}

// shifted reports whether requests go to the new version as a rule.
func (r *rollout) shifted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == canary.Shift || r.phase == canary.Completed
}

// mayFallBack reports whether requests may still go to the old version in Shift, where the new one cannot
// take them. The caller holds mu.
func (r *rollout) mayFallBack(now cicadapitch.Instant) bool {
	return r.phase == canary.Shift && now.Sub(r.phaseSince) < shiftFallback
}

// fallback returns the endpoints of the old version to which an attempt may go that the new one cannot
// take, or none.
func (r *rollout) fallback(now cicadapitch.Instant, list []fleet.Endpoint) []fleet.Endpoint {
	r.mu.Lock()
	allowed := r.phase == canary.Canary || r.mayFallBack(now)
	r.mu.Unlock()
	if !allowed {
		return nil
	}
	return r.candidates(now, list, false, nil)
}

// forbids reports whether an endpoint of the service must get no requests: neither one of the new version
// after a rollback, nor one of an old version once the rollout is completed and the new one serves.
func (r *rollout) forbids(version cicadapitch.SoftwareVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.order.Revision == 0:
		return false
	case r.phase == canary.RolledBack:
		return version == r.order.To
	case r.phase == canary.Completed:
		return version != r.order.To && r.hasNew
	}
	return false
}

// begin records that a call is sent to an endpoint.
func (r *rollout) begin(now cicadapitch.Instant, key callKey, req rolloutRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, ok := r.seen[key.id]
	if !ok || r.order.Revision == 0 || r.phase.Final() {
		return
	}
	isNew := seen.version == r.order.To
	timed := now >= seen.warmAt && now.Sub(seen.firstAt) >= settlingTime
	timed = r.cached(req, isNew) && timed
	r.calls[key] = &trackedCall{Call: r.tally.Begin(now, req.route, isNew, timed), version: seen.version}
}

// recordAnswer records that a call has an answer, or its first event.
func (r *rollout) recordAnswer(now cicadapitch.Instant, key callKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.calls[key]; c != nil {
		c.answered = true
		c.Answered(now)
	}
}

// end records that a call has ended. One that has neither failed nor an answer counts for nothing: its
// endpoint has refused it, or its caller has left.
func (r *rollout) end(now cicadapitch.Instant, key callKey, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.calls[key]
	if c == nil {
		return
	}
	delete(r.calls, key)
	result := "Answer"
	switch {
	case failed:
		result = "Failure"
		c.End(now, true)
	case c.answered:
		c.End(now, false)
	default:
		result = "None"
		c.Withdraw()
	}
	r.metrics.Tagged(map[string]string{"Service": string(r.service), "Version": string(c.version), "Result": result}).
		Counter("RolloutCalls").Inc(1)
}

// routeTimeouts returns the longest time of a request of each route that has led to the service.
func (r *rollout) routeTimeouts() map[string]cicadapitch.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.routes)
}

// phaseInForce returns the phase that is in force at this host.
func (r *rollout) phaseInForce() canary.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase
}

// report returns what this host reports to the owner. running holds its running calls by endpoint, those that
// began before the order included.
func (r *rollout) report(now cicadapitch.Instant, phase canary.Phase, running map[cicadapitch.EndpointID]int) canary.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.tally.Report(now, phase)
	rep.Old, rep.New = 0, 0
	for id, n := range running {
		switch seen, ok := r.seen[id]; {
		case !ok:
		case seen.version == r.order.To:
			rep.New += n
		default:
			rep.Old += n
		}
	}
	return rep
}

// applyAnswer applies the owner's answer to a report that was sent at an instant. It reports whether the
// phase has changed.
func (r *rollout) applyAnswer(now, sentAt cicadapitch.Instant, a RolloutAnswer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt, r.share = max(r.answeredAt, sentAt), a.Share
	return r.enter(now, a.Phase)
}

// planned returns the endpoints in list that the owner of a stage service's shard may plan calls for.
func (r *rollout) planned(now cicadapitch.Instant, list []fleet.Endpoint) []fleet.Endpoint {
	r.mu.Lock()
	inCanary := r.order.Revision != 0 && r.phase == canary.Canary && r.hasOld
	r.mu.Unlock()
	if !inCanary {
		return r.candidates(now, list, true, nil)
	}
	ofOld := r.candidates(now, list, false, nil)
	return slices.Concat(ofOld, lo.Without(r.candidates(now, list, true, nil), ofOld...))
}

// versionLimit returns the bound on the next calls of a stage service at the new version, or nil for none.
func (r *rollout) versionLimit(now cicadapitch.Instant) *batch.VersionLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order.Revision == 0 || r.phase != canary.Canary || !r.hasOld {
		return nil
	}
	l := &batch.VersionLimit{Version: r.order.To}
	if r.currentShare(now) > 0 {
		l.Calls = max(r.owed, 0)
	}
	return l
}
