package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// answerMargin is how long before the caller's timeout the gateway gives up, so that
	// its answer arrives in time.
	answerMargin cicadapitch.Millis = 30
	// A caller is assumed to abandon a stream that has sent no event for the longest of
	// three times: minAbandonTime, abandonLatencyFactor times the route's latency
	// objective, and abandonGapFactor times the route's longest pause between events.
	minAbandonTime       = 2 * cicadapitch.Second
	abandonLatencyFactor = 4
	abandonGapFactor     = 8
	// maxConnectFailures limits the retries after failed connections, which are not
	// charged to the retry budget, while no endpoint has received the request.
	maxConnectFailures = 3
	// maxEndpointWait is how long a request whose stages are done waits for an engine
	// with capacity.
	maxEndpointWait cicadapitch.Millis = 800
	// endpointPollInterval is the pause between two tries to find such an engine.
	endpointPollInterval cicadapitch.Millis = 40
	// maxRequestTime bounds a request.
	maxRequestTime = 10 * cicadapitch.Minute
	// fullRetryAfter is the retry delay for callers when all endpoints are full.
	fullRetryAfter cicadapitch.Millis = 250
)

// proxiedRequest is the state of one request while the gateway serves it.
type proxiedRequest struct {
	g        *Gateway
	view     *fleet.View
	request  *catalog.Request
	route    *catalog.Route
	service  *catalog.Service
	customer cicadapitch.CustomerID
	// rank is the rank of the request among all, see catalog.Rank.
	rank   int
	answer *platform.ResponseWriter
	// due is when the answer or first event is due by the latency objective.
	// deadline is when the gateway gives up.
	due, deadline cicadapitch.Instant
	// abandonAt is when the caller of a stream is assumed to stop waiting for the first
	// event. For other requests it equals deadline.
	abandonAt cicadapitch.Instant
	// attempts counts the calls that reached, or may have reached, an endpoint. exclude
	// holds the endpoints that must not be tried again.
	attempts int
	exclude  map[cicadapitch.EndpointID]bool
	// runs holds the calls at engines that have not ended. The request's own goroutine uses it.
	runs map[cicadapitch.EndpointID]*placement.Run
	// chosenAt is when the last endpoint was chosen.
	chosenAt cicadapitch.Instant
	// origin is where the stream began, or nil before its first event.
	origin *origin.Origin
	// state is a requestState. While commitMu is held it does not change from waiting to sent.
	state    atomic.Int32
	commitMu sync.Mutex
	// committedAt is when the request was first sent to an endpoint, or 0.
	committedAt cicadapitch.Instant
	// committedNeed is how long the request might last when it was last sent by a host that stops.
	committedNeed cicadapitch.Millis
	// retryReserved is true if the next attempt was taken from the budget already.
	retryReserved atomic.Bool
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// keys are the keys of the request in the quarantine: those of the prompt's parts but for
	// the last, and that of the request as a whole.
	keys []string
	// endCheck, if set, is closed once it is known whether the endpoint of the last broken
	// answer has ended.
	endCheck <-chan struct{}
	// trial is the suspected part whose trial the request has, or empty.
	trial string
	// refusedBefore is true if the caller is retrying after a refusal.
	refusedBefore bool
	// reserved is the choice of a version for the next attempt, or nil before it or without a rollout.
	reserved *reservation
	// status is the HTTP status that was relayed to the caller, or 0.
	status int
	// heldPartial is the memory that was reserved for an incomplete event.
	heldPartial cicadapitch.Bytes
}

// requestDeadline returns when the gateway gives the request up, by the caller's timeout and the route, after at
// most 10 minutes.
func (p *proxiedRequest) requestDeadline() cicadapitch.Instant {
	timeout := maxRequestTime
	if p.request.Timeout > 0 {
		timeout = min(timeout, p.request.Timeout)
	}
	if p.route.Timeout > 0 {
		timeout = min(timeout, p.route.Timeout)
	}
	return p.request.Arrived.Add(max(timeout-answerMargin, timeout/2))
}

// setDeadlines sets due, deadline and abandonAt from the caller's timeout and the
// route. It also initializes exclude.
func (p *proxiedRequest) setDeadlines() {
	r := p.request
	p.deadline = p.requestDeadline()
	p.due = r.Arrived.Add(p.route.TargetLatency)
	p.abandonAt = p.deadline
	if p.route.Kind == catalog.Streaming {
		abandonAfter := max(minAbandonTime, abandonLatencyFactor*p.route.TargetLatency, abandonGapFactor*p.route.TargetGap)
		p.abandonAt = min(p.deadline, r.Arrived.Add(abandonAfter))
	}
	p.exclude = map[cicadapitch.EndpointID]bool{}
}

// remaining returns the time until the deadline, at least 1 ms.
func (p *proxiedRequest) remaining() cicadapitch.Millis {
	return max(p.deadline.Sub(p.g.clock.Now()), 1)
}

// chooseEndpoint chooses an endpoint of the service, and counts the call as running
// there unless peek is true. zone, if set, is the preferred zone of an engine. The
// error is NotRun if no endpoint has capacity.
func (p *proxiedRequest) chooseEndpoint(peek bool, zone cicadapitch.ZoneID) (fleet.Endpoint, error) {
	g := p.g
	now := g.clock.Now()
	criteria := p.criteria(zone)
	list := p.candidates()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, prediction, ok := g.choose(now, list, criteria)
	if !ok {
		e, prediction, ok = g.choose(now, p.fallback(), criteria)
	}
	if !ok {
		return e, p.errNoEndpoint()
	}
	if peek {
		return e, nil
	}
	p.chosenAt = now
	if criteria.Service.Engine == nil {
		g.chooser.RecordStart(e.ID)
		return e, nil
	}
	if p.runs == nil {
		p.runs = map[cicadapitch.EndpointID]*placement.Run{}
	}
	p.runs[e.ID] = g.chooser.RecordRun(now, e, criteria, prediction)
	return e, nil
}

// choose chooses an endpoint from list, and reports whether one may get a call now. The caller holds
// mu.
func (g *Gateway) choose(now cicadapitch.Instant, list []fleet.Endpoint, criteria placement.Criteria) (fleet.Endpoint, placement.Prediction, bool) {
	if criteria.Service.Engine != nil {
		return g.chooser.PredictEngine(now, list, criteria)
	}
	e, ok := g.chooser.ChoosePlain(now, list, criteria)
	return e, placement.Prediction{}, ok
}

// criteria returns the criteria of the choice of an endpoint. zone is that of chooseEndpoint.
func (p *proxiedRequest) criteria(zone cicadapitch.ZoneID) placement.Criteria {
	g := p.g
	criteria := placement.Criteria{
		Service: p.service, Session: p.request.Session(), Exclude: p.exclude,
		Hosts: g.hostCount(), Zone: zone,
	}
	if p.service.Engine != nil {
		criteria.OtherLoads = g.membership.Loads()
		p.setWork(&criteria)
	}
	if p.service.ColdPerSecond > 0 || g.limits.Any() {
		criteria.Rank = p.hostRank()
	}
	return criteria
}

// errNoEndpoint returns the NotRun error of a request that no endpoint can take.
func (p *proxiedRequest) errNoEndpoint() error {
	reason := "no endpoint of " + string(p.service.Name)
	switch {
	case p.origin != nil:
		reason += " with software version " + string(p.origin.Version) + ", which began the stream,"
	case p.route.Resumable:
		reason += " with a software version that the store lists"
	}
	return cicadapitch.NewNotRun(reason+" can take the request", max(p.shortestPause(), fullRetryAfter))
}

// shortestPause returns the time until the first endpoint takes requests of this host again,
// or 0 if one of them has not refused any for a time. The caller holds g.mu.
func (p *proxiedRequest) shortestPause() cicadapitch.Millis {
	return p.g.chooser.ShortestPause(p.g.clock.Now(), p.candidates())
}

// hostRank returns a function that returns this host's rank among all hosts for a
// key, from 0, or -1 if this host is not among them. The function is called with
// g.mu held, so it must not lock the membership, which calls SetView with its own
// lock held, and SetView locks g.mu. Hence hostRank fetches the hosts beforehand.
func (p *proxiedRequest) hostRank() func(string) int {
	hosts := p.g.membership.Hosts()
	other := func(h fleet.Host) bool { return !p.g.membership.IsSelf(h) }
	if registered := p.g.membership.View().Hosts; !slices.ContainsFunc(hosts, other) && slices.ContainsFunc(registered, other) {
		// A host that hears of no other one cannot tell whether they have ended.
		hosts = registered
	}
	return p.g.positionAmong(hosts)
}

// positionAmong returns a function that returns this host's position among hosts in the rendezvous order for
// a key, or -1 if it is not among them.
func (g *Gateway) positionAmong(hosts []fleet.Host) func(key string) int {
	i := slices.IndexFunc(hosts, g.membership.IsSelf)
	if i < 0 {
		return func(string) int { return -1 }
	}
	return func(key string) int {
		return fleet.Position(key, hosts, fleet.HostIncarnation, hosts[i].Incarnation)
	}
}

// waitForEndpoint chooses an endpoint and counts the call as running there. While all
// endpoints that are not excluded are at their limit, it waits up to maxEndpointWait.
func (p *proxiedRequest) waitForEndpoint(ctx context.Context, zone cicadapitch.ZoneID) (fleet.Endpoint, error) {
	for waited := cicadapitch.Millis(0); ; waited += endpointPollInterval {
		e, err := p.chooseEndpoint(false, zone)
		if err == nil || waited >= maxEndpointWait || !p.hasCandidate() || cicadapitch.AsError(err).RetryAfter > maxEndpointWait {
			return e, err
		}
		if p.g.clock.Sleep(ctx, endpointPollInterval) != nil {
			return e, err
		}
	}
}

// recordCallEnd records the end of a call that chooseEndpoint counted as running.
func (p *proxiedRequest) recordCallEnd(id cicadapitch.EndpointID) {
	p.untrack(id)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if run := p.runs[id]; run != nil {
		delete(p.runs, id)
		p.g.chooser.EndRun(run)
		return
	}
	p.g.chooser.RecordEnd(id)
}

// recordSuccess records a successful call and its latency for the choice of
// endpoints.
func (p *proxiedRequest) recordSuccess(id cicadapitch.EndpointID, took cicadapitch.Millis) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.chooser.Health(id).RecordSuccess(p.g.clock.Now(), took)
}

// recordFailure records a failed call for the choice of endpoints. weight is 1
// for a broken call, silenceFailureWeight for a silent endpoint and 0 for a refusal. A
// refusal still counts as a failure, but least of these.
func (p *proxiedRequest) recordFailure(id cicadapitch.EndpointID, weight float64) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.chooser.Health(id).RecordFailure(p.g.clock.Now(), weight)
}

// recordBreak records that an answer broke off, unless the attempt was canceled for
// another reason than the endpoint's silence: the caller has left or the deadline has
// passed.
func (p *proxiedRequest) recordBreak(ctx context.Context, id cicadapitch.EndpointID) {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
		p.recordFailure(id, 1)
	}
	p.recordLossForRollout(ctx, id)
}

// takeRetry reports whether the request may be sent to one more endpoint, and if so,
// takes the retry from the budget of the service.
func (p *proxiedRequest) takeRetry() bool {
	if p.attempts >= p.route.MaxAttempts || p.mayHaveRun && !p.route.Idempotent() || !p.answer.Extensible() {
		return false
	}
	now := p.g.clock.Now()
	if p.checkStop(now, p.need(now)) != nil {
		return false
	}
	if p.retryReserved.Swap(false) {
		return true
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	return p.g.retryBudget(p.service.Name).AllowRetry(now, p.g.hostCount())
}

// send commits the request and sends it to an endpoint. It counts the attempt and
// records failures of the endpoint. It returns errStopping if the answer may not be whole
// before the host ends, errChoiceOutdated if the endpoint must not get the
// request any more, and an error if the call fails or checkReply rejects the reply. A returned reply is a signed success or the endpoint's own error
// answer.
func (p *proxiedRequest) send(ctx context.Context, e fleet.Endpoint, inputs []string, resumeAfter string) (*platform.Reply, error) {
	sinceChoice := p.g.clock.Now().Sub(p.chosenAt)
	reply, err := p.g.endpoints.Send(ctx, p.newCall(e, inputs, resumeAfter, p.commit))
	p.logSent(e, sinceChoice, len(inputs), resumeAfter, reply, err)
	if errors.Is(err, errChoiceOutdated) || errors.Is(err, membership.ErrKnowledgeOld) || errors.Is(err, errStopping) || errors.Is(err, errQuarantined) {
		return nil, err
	}
	if err == nil || cicadapitch.KindOf(err) != cicadapitch.NotRun {
		p.recordArrival(e)
	}
	if err != nil {
		if cicadapitch.KindOf(err) != cicadapitch.NotRun {
			p.attempts++
			p.mayHaveRun = true
			p.recordLossForRollout(ctx, e.ID)
		}
		switch {
		case ctx.Err() == nil:
			p.recordFailure(e.ID, 1)
			p.g.endpoints.CloseIdleConnections(e.Address)
		case errors.Is(context.Cause(ctx), errSilent):
			p.recordFailure(e.ID, silenceFailureWeight)
		}
		return nil, err
	}
	p.attempts++
	if err := p.checkReply(reply, e); err != nil {
		reply.Discard()
		reply.Close()
		return nil, err
	}
	p.mayHaveRun = true
	return reply, nil
}

// newCall returns a call of an endpoint that commit decides on. The other parameters are those of send.
func (p *proxiedRequest) newCall(e fleet.Endpoint, inputs []string, resumeAfter string, commit func() error) platform.Call {
	return platform.Call{
		Endpoint: e.Endpoint, Request: p.request, Customer: p.customer, Timeout: p.remaining(),
		Inputs: inputs, Urgency: p.urgency(), ResumeAfter: resumeAfter, Commit: p.trackForRollout(e, commit), Hold: p.answer.Hold(),
	}
}

// logSent logs a call of an endpoint that was chosen sinceChoice before it began to wait for
// its connection. reply is nil if err is not.
func (p *proxiedRequest) logSent(e fleet.Endpoint, sinceChoice cicadapitch.Millis, inputs int, resumeAfter string, reply *platform.Reply, err error) {
	event := p.g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(e.ID)).Str("Version", string(e.Version)).
		Int64("EntryRevision", e.Revision.Number()).Int64("LeftMs", int64(p.remaining())).Int("Inputs", inputs).
		Int64("SinceChoiceMs", int64(sinceChoice))
	if s := p.g.stop.Load(); s != nil {
		p.commitMu.Lock()
		need := p.committedNeed
		p.commitMu.Unlock()
		s.log(event, p.g.clock.Now()).Int64("NeedMs", int64(need))
	}
	if run := p.runs[e.ID]; run != nil && run.Prediction().Known {
		prediction := run.Prediction()
		event.Int64("PredictedMs", int64(prediction.FirstEvent)).Int64("UncachedTokens", int64(prediction.Uncached)).
			Int64("WorkAgeMs", int64(prediction.Age))
	}
	if age, ok := p.g.membership.KnowledgeAge(); ok {
		event.Int64("KnowledgeAgeMs", int64(age))
	}
	parts, key := p.keys[:len(p.keys)-1], p.keys[len(p.keys)-1]
	if len(parts) > 0 {
		event.Strs("Parts", parts[:min(len(parts), maxLoggedParts)])
	}
	event.Str("Key", key)
	if resumeAfter != "" {
		event.Str("ResumeAfter", resumeAfter).Str("Resumes", string(p.request.Resumes))
	}
	if reply != nil {
		event.Int64("ConnectMs", int64(reply.Waited)).Int("EndpointStatus", reply.Status).Stringer("Framing", reply.Framing)
		if reply.RateLimit.Named {
			event.Float64("RateLimit", reply.RateLimit.PerSecond)
		}
	}
	event.Err(err).Msg("sent")
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// silenceFailureWeight is the failure weight of a silent endpoint. It is low, since
// a single slow call looks the same.
const silenceFailureWeight = 0.3

// errSilent is the cause with which an attempt at a silent endpoint is canceled.
var errSilent = errors.New("the endpoint is silent")

// errNotRelayed means that the answer could not be written to the caller, which has
// most likely disconnected.
var errNotRelayed = errors.New("the answer cannot be written to the caller")

func notRelayed(err error) error { return fmt.Errorf("%w: %w", errNotRelayed, err) }

// errInputLost means that the endpoint no longer holds a stage result that the
// request needs. The stages have to run again.
var errInputLost = errors.New("an input is gone")

// checkReply returns errInputLost or a NotRun error for a refusal, and an
// OutcomeUnknown error for an unconfirmed refusal or a success without the endpoint's
// signature. With each error it records a failure of the endpoint.
func (p *proxiedRequest) checkReply(reply *platform.Reply, e fleet.Endpoint) error {
	switch {
	case reply.NotRun:
		p.recordFailure(e.ID, 0)
		if reply.InputMissing() {
			return errInputLost
		}
		p.recordRefusal(e, reply)
		return cicadapitch.NewNotRun(string(e.ID)+" refused the request", fullRetryAfter)
	case reply.UnconfirmedRefusal():
		p.mayHaveRun = true
		p.recordFailure(e.ID, 1)
		p.recordFailureForRollout(e.ID)
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " refused without saying that it did not run the request")
	case reply.Status < 300 && !reply.Signed:
		p.mayHaveRun = true
		p.recordFailure(e.ID, 1)
		p.recordFailureForRollout(e.ID)
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " answered without a signature")
	}
	return nil
}

// recordRefusal records that an endpoint refused the request: it gets none of this host for as long as it
// asked for. A brittle one that lacks room gets none for a while.
func (p *proxiedRequest) recordRefusal(e fleet.Endpoint, reply *platform.Reply) {
	p.pause(e, reply.RetryAfter)
	if reply.Status != http.StatusServiceUnavailable {
		return
	}
	criteria := p.criteria("")
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.chooser.RecordRefusal(p.g.clock.Now(), e, criteria)
}

// pause keeps this host's requests away from an endpoint that asked for it.
func (p *proxiedRequest) pause(e fleet.Endpoint, after cicadapitch.Millis) {
	if after <= 0 {
		return
	}
	p.g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(e.ID)).Int64("PauseMs", int64(after)).Msg("endpoint asks for a pause")
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.chooser.Health(e.ID).Pause(p.g.clock.Now().Add(after))
}

// urgency returns the urgency that is sent to an engine, from 0 to 9: the request's rank, or
// -1 for plain services.
func (p *proxiedRequest) urgency() int {
	if p.service.Engine == nil {
		return -1
	}
	return p.rank
}

// finish logs the end of the request and records its latency. If the request failed,
// finish answers with the error, and reports a refusal to the owners of the first
// stage. If the answer has begun already or the caller has disconnected, it panics
// with http.ErrAbortHandler instead, so that the answer cannot look complete.
func (p *proxiedRequest) finish(ctx context.Context, err error) {
	g := p.g
	now := g.clock.Now()
	took := now.Sub(p.request.Arrived)
	g.metrics.Tagged(map[string]string{"Route": p.route.Name}).Histogram("Latency", latencyBuckets).RecordDuration(took.Duration())
	state, end := requestState(p.state.Load()), p.endOf(ctx, err)
	callerGone := end == endedByCaller
	if p.committedAt > 0 {
		g.callTimes.end(now, p)
	}
	if p.committedAt > 0 && (end == endedByAnswer || end == endedByDeadline || end == endedByEndpoint) {
		g.callTimes.record(now, p.route.Name, now.Sub(p.committedAt))
	}
	g.metrics.Tagged(map[string]string{"By": end.String(), "State": state.String()}).Counter("RequestsEnded").Inc(1)
	loss := lossOf(end, p.status, err)
	g.countLoss(p.route.Name, loss)
	event := g.log.Info().Str("Id", string(p.request.ID)).Str("Route", p.route.Name).Str("Customer", string(p.customer)).
		Stringer("By", end).Stringer("State", state).Stringer("Loss", loss)
	g.stop.Load().log(event, now).Int64("Config", p.view.Catalog.Version).Int("Status", p.status).Int64("Bytes", p.answer.BytesWritten()).Int("Sent", p.attempts).Bool("MayRun", p.mayHaveRun).
		Bool("CallerGone", callerGone).Int64("TookMs", int64(took)).Err(err).Msg("ended")
	if err == nil {
		return
	}
	if p.answer.HeaderWritten() || callerGone {
		p.logUnanswered(callerGone, err)
		p.answer.Abort()
	}
	final := p.finalError(ctx, err)
	if cicadapitch.KindOf(final) == cicadapitch.NotRun && !errors.Is(err, errQuarantined) {
		p.reportRefusal()
	}
	p.answer.WriteError(final)
}

// finalError returns the error for the caller. Its kind is DeadlineExceeded or
// OutcomeUnknown if an endpoint may have run the request, and NotRun otherwise.
func (p *proxiedRequest) finalError(ctx context.Context, err error) error {
	e := cicadapitch.AsError(err)
	switch {
	case p.mayHaveRun && errors.Is(context.Cause(ctx), errDeadline):
		return errDeadline
	case p.mayHaveRun:
		return cicadapitch.NewOutcomeUnknown(err.Error())
	case p.endOf(ctx, err) == endedByStop:
		return errStopping.WithRetryAfter(jitter(stoppingRetryAfter))
	case p.endOf(ctx, err) == endedByMemory:
		return platform.ErrNoMemory.WithRetryAfter(jitter(platform.ErrNoMemory.RetryAfter))
	case e != nil && e.Kind == cicadapitch.NotRun && e.RetryAfter > 0:
		return e.WithRetryAfter(jitter(e.RetryAfter))
	}
	return cicadapitch.NewNotRun(err.Error(), fullRetryAfter)
}

// jitter varies a retry delay by up to 20 % either way, so that callers who were
// refused together do not retry together.
func jitter(m cicadapitch.Millis) cicadapitch.Millis {
	return cicadapitch.Millis(float64(m) * (0.8 + 0.4*rand.Float64()))
}
