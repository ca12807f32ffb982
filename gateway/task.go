package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// finalMargin is how long before the caller's timeout the gateway answers, for
	// transit.
	finalMargin cicadapitch.Millis = 30
	// Callers abandon a stream without events after the longest of abandonFloor,
	// abandonTargetFactor times the route's latency objective, and abandonGapFactor
	// times its longest pause between events.
	abandonFloor        = 2 * cicadapitch.Second
	abandonTargetFactor = 4
	abandonGapFactor    = 8
	// maxConnectFailures limits the retries outside the retry budget while endpoints
	// cannot be connected to and none has got the request.
	maxConnectFailures = 3
	// maxBufferedAnswer is the number of bytes of an answer that are read before any
	// is relayed, so that another attempt can replace an answer that breaks off.
	maxBufferedAnswer = 256 << 10
	// attemptTimeoutFraction of the latency objective is the timeout of an attempt of
	// an idempotent request. The rest suffices for a typical call to another endpoint.
	attemptTimeoutFraction = 0.7
	// maxEndpointWait is how long a request whose stages are done waits for an engine
	// with capacity. It checks every endpointPollInterval.
	maxEndpointWait      cicadapitch.Millis = 800
	endpointPollInterval cicadapitch.Millis = 40
	// fullRetryAfter is the retry delay for callers when all endpoints are full.
	fullRetryAfter cicadapitch.Millis = 250
)

// The phases of a request.
const (
	// phaseWaiting means that no endpoint has been tried yet.
	phaseWaiting int32 = iota
	// phaseCommitted means that the request has been or is being sent to an endpoint.
	phaseCommitted
	// phaseRejected means that the host is stopping and the request must not be sent.
	phaseRejected
)

// task is the state of one request while the gateway serves it.
type task struct {
	g        *Gateway
	view     *fleet.View
	request  *catalog.Request
	route    *catalog.Route
	service  *catalog.Service
	customer cicadapitch.CustomerID
	priority int
	answer   *platform.ResponseWriter
	// due is when the answer or first event is due by the latency objective.
	// deadline is when the gateway gives up.
	due, deadline cicadapitch.Instant
	// abandonAt is when the caller of a stream stops waiting for the first event.
	abandonAt cicadapitch.Instant
	// attempts counts the endpoints that got the request. exclude holds the endpoints
	// that must not get it again.
	attempts int
	exclude  map[cicadapitch.EndpointID]bool
	// phase is one of phaseWaiting, phaseCommitted and phaseRejected.
	phase atomic.Int32
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// queueWaits are the queue waits by shard key that the owners had reported before
	// the stages started.
	queueWaits map[string]QueueWaits
	// refusedBefore is true if the caller is retrying after a refusal.
	refusedBefore bool
	// status is the HTTP status that was relayed to the caller, or 0.
	status int
}

// setDeadlines sets due, deadline and abandonAt from the caller's timeout and the
// route.
func (t *task) setDeadlines() {
	r := t.request
	timeout := cicadapitch.Millis(1<<62 - 1)
	if r.Timeout > 0 {
		timeout = r.Timeout
	}
	if t.route.Timeout > 0 {
		timeout = min(timeout, t.route.Timeout)
	}
	if timeout > cicadapitch.Minute*10 {
		timeout = cicadapitch.Minute * 10
	}
	t.deadline = r.Arrived.Add(max(timeout-finalMargin, timeout/2))
	t.due = r.Arrived.Add(t.route.TargetLatency)
	t.abandonAt = t.deadline
	if t.route.Kind == catalog.Streaming {
		patience := max(abandonFloor, abandonTargetFactor*t.route.TargetLatency, abandonGapFactor*t.route.TargetGap)
		t.abandonAt = min(t.deadline, r.Arrived.Add(patience))
	}
	t.exclude = map[cicadapitch.EndpointID]bool{}
}

// remaining returns the time until the deadline, at least 1 ms.
func (t *task) remaining() cicadapitch.Millis { return max(t.deadline.Sub(t.g.clock.Now()), 1) }

// chooseEndpoint picks an endpoint of the service, and counts the call as running
// there unless peek is true. zone, if set, is the preferred zone of an engine. The
// error is NotRun if no endpoint has capacity.
func (t *task) chooseEndpoint(peek bool, zone cicadapitch.ZoneID) (fleet.Endpoint, error) {
	g := t.g
	now := g.clock.Now()
	v := g.membership.View()
	w := placement.Criteria{
		Service: t.service, Session: t.request.Session(), Exclude: t.exclude,
		Hosts: g.membership.HostCount(), Zone: zone,
	}
	list := v.Endpoints(t.service.Name)
	var (
		e  fleet.Endpoint
		ok bool
	)
	if t.service.Engine != nil {
		w.OtherLoads = g.membership.Loads()
	}
	if t.service.ColdPerSecond > 0 {
		w.Rank = t.hostRank()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.service.Engine != nil {
		e, ok = g.chooser.ChooseEngine(now, list, w)
	} else {
		e, ok = g.chooser.ChoosePlain(now, list, w)
	}
	if !ok {
		return e, cicadapitch.NewNotRun("no endpoint of "+string(t.service.Name)+" can take the request", fullRetryAfter)
	}
	if !peek {
		g.chooser.RecordStart(e.ID)
	}
	return e, nil
}

// hostRank returns a function that returns this host's rank among all hosts for a
// key, from 0, or -1 if this host is not among them. The function is called with
// g.mu held, so it must not lock the membership, which calls SetView with its own
// lock held, and SetView locks g.mu. Hence hostRank fetches the hosts beforehand.
func (t *task) hostRank() func(string) int {
	hosts := t.g.membership.Hosts()
	return func(key string) int {
		owners := fleet.Rank(key, hosts, func(h fleet.Host) string { return h.Incarnation })
		return slices.IndexFunc(owners, t.g.membership.IsSelf)
	}
}

// waitForEndpoint is chooseEndpoint, but waits up to maxEndpointWait while all
// endpoints are at their limit.
func (t *task) waitForEndpoint(ctx context.Context, zone cicadapitch.ZoneID) (fleet.Endpoint, error) {
	for waited := cicadapitch.Millis(0); ; waited += endpointPollInterval {
		e, err := t.chooseEndpoint(false, zone)
		if err == nil || waited >= maxEndpointWait || len(t.g.membership.View().Endpoints(t.service.Name)) <= len(t.exclude) {
			return e, err
		}
		if t.g.clock.Sleep(ctx, endpointPollInterval) != nil {
			return e, err
		}
	}
}

// callEnded undoes the count of a running call by chooseEndpoint.
func (t *task) callEnded(id cicadapitch.EndpointID) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.chooser.RecordEnd(id)
}

// recordSuccess records a successful call and its latency for the choice of
// endpoints.
func (t *task) recordSuccess(id cicadapitch.EndpointID, took cicadapitch.Millis) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.chooser.Health(id).RecordSuccess(t.g.clock.Now(), took)
}

// recordFailure records a failed call for the choice of endpoints. weight lies
// between 0 and 1.
func (t *task) recordFailure(id cicadapitch.EndpointID, weight float64) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.chooser.Health(id).RecordFailure(t.g.clock.Now(), weight)
}

// mayRetry reports whether the request may be sent to one more endpoint, and takes
// the retry from the budget of the service.
func (t *task) mayRetry() bool {
	if t.attempts >= t.route.MaxAttempts || t.mayHaveRun && !t.route.Idempotent() {
		return false
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	return t.g.retryBudget(t.service.Name).AllowRetry(t.g.clock.Now(), t.g.membership.HostCount())
}

// servePlain serves a request of a plain service. It retries at other endpoints
// where the request allows that.
func (t *task) servePlain(ctx context.Context) error {
	for connectFailures := 0; ; {
		e, err := t.chooseEndpoint(false, "")
		if err != nil {
			return err
		}
		attemptCtx, cancel := t.attemptContext(ctx)
		done, err := t.attemptPlain(attemptCtx, e)
		cancel()
		if done {
			return err
		}
		t.exclude[e.ID] = true
		if cicadapitch.KindOf(err) == cicadapitch.NotRun && t.attempts == 0 && connectFailures < maxConnectFailures {
			connectFailures++
			continue
		}
		if ctx.Err() != nil || !t.mayRetry() {
			return err
		}
	}
}

// attemptContext returns the context of an attempt at a plain service. If another
// attempt may follow, it has a timeout with the cause errSilent.
func (t *task) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !t.route.Idempotent() || t.attempts+1 >= t.route.MaxAttempts || t.route.TargetLatency <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, cicadapitch.Millis(attemptTimeoutFraction*float64(t.route.TargetLatency)).Duration(), errSilent)
}

// attemptPlain sends the request to one endpoint of a plain service. It returns
// true once the answer to the caller has begun. Otherwise the caller has no answer
// yet, and the error says why the attempt failed.
func (t *task) attemptPlain(ctx context.Context, e fleet.Endpoint) (bool, error) {
	defer t.callEnded(e.ID)
	start := t.g.clock.Now()
	reply, err := t.send(ctx, e, nil, "")
	if err != nil {
		return false, err
	}
	defer reply.Close()
	body, err := t.readBuffered(reply)
	if err != nil {
		t.recordFailure(e.ID, 1)
		return false, cicadapitch.NewOutcomeUnknown("the answer of " + string(e.ID) + " broke off: " + err.Error())
	}
	if reply.Status >= 500 && t.route.Idempotent() && t.attempts < t.route.MaxAttempts {
		t.recordFailure(e.ID, 0)
		return false, cicadapitch.NewOutcomeUnknown(string(e.ID) + " failed")
	}
	if reply.Status < 500 {
		t.recordSuccess(e.ID, t.g.clock.Now().Sub(start))
	}
	t.status = reply.Status
	t.answer.WriteHeader(reply)
	if _, err := t.answer.Write(body); err != nil {
		return true, nil // the caller has disconnected
	}
	return true, t.relayRest(reply)
}

// readBuffered reads up to maxBufferedAnswer bytes of a body.
func (t *task) readBuffered(reply *platform.Reply) ([]byte, error) {
	return io.ReadAll(io.LimitReader(reply, maxBufferedAnswer))
}

// relayRest relays the part of a body that readBuffered left.
func (t *task) relayRest(reply *platform.Reply) error {
	_, err := io.Copy(t.answer, reply)
	return err
}

// send sends the request to an endpoint. It returns an error if the call fails or
// checkReply rejects the reply. A returned reply is a signed success or the
// endpoint's own error answer.
func (t *task) send(ctx context.Context, e fleet.Endpoint, inputs []string, resumeAfter string) (*platform.Reply, error) {
	if t.phase.Load() != phaseCommitted && !t.phase.CompareAndSwap(phaseWaiting, phaseCommitted) {
		return nil, errStopping
	}
	reply, err := t.g.endpoints.Send(ctx, platform.Call{
		Endpoint: e.Endpoint, Request: t.request, Customer: t.customer, Timeout: t.remaining(),
		Inputs: inputs, Urgency: t.urgency(), ResumeAfter: resumeAfter,
	})
	t.g.log.Info().Str("Id", string(t.request.ID)).Str("Endpoint", string(e.ID)).
		Int64("EntryRevision", int64(e.Revision)).Int64("LeftMs", int64(t.remaining())).Int("Inputs", len(inputs)).Err(err).Msg("sent")
	if err != nil {
		if cicadapitch.KindOf(err) != cicadapitch.NotRun {
			t.attempts++
			t.mayHaveRun = true
		}
		switch {
		case ctx.Err() == nil:
			t.recordFailure(e.ID, 1)
			t.g.endpoints.CloseIdleConnections(e.Address)
		case errors.Is(context.Cause(ctx), errSilent):
			t.recordFailure(e.ID, silenceFailureWeight)
		}
		return nil, err
	}
	t.attempts++
	if err := t.checkReply(reply, e); err != nil {
		// The body of a refusal is discarded, so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(reply, maxBufferedAnswer))
		reply.Close()
		return nil, err
	}
	t.mayHaveRun = true
	return reply, nil
}

// silenceFailureWeight is the failure weight of a silent endpoint. It is low, since
// a single slow call looks the same.
const silenceFailureWeight = 0.3

// errSilent is the cause with which an attempt at a silent endpoint is canceled.
var errSilent = errors.New("the endpoint is silent")

// errInputLost means that the endpoint no longer holds a stage result that the
// request needs. The stages have to run again.
var errInputLost = errors.New("an input is gone")

// checkReply returns an error if a reply is a refusal, or a success without the
// endpoint's signature, and records it as a failure of the endpoint.
func (t *task) checkReply(reply *platform.Reply, e fleet.Endpoint) error {
	switch {
	case reply.NotRun:
		t.recordFailure(e.ID, 0)
		if reply.InputMissing() {
			return errInputLost
		}
		return cicadapitch.NewNotRun(string(e.ID)+" refused the request", fullRetryAfter)
	case reply.UnconfirmedRefusal():
		t.mayHaveRun = true
		t.recordFailure(e.ID, 1)
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " refused without saying that it did not run the request")
	case reply.Status < 300 && !reply.Signed:
		t.mayHaveRun = true
		t.recordFailure(e.ID, 1)
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " answered without a signature")
	}
	return nil
}

// urgency returns the priority that is sent to an engine, from 0 to 9, or -1 for
// plain services.
func (t *task) urgency() int {
	if t.service.Engine == nil {
		return -1
	}
	return min(max(t.priority, 0), 9)
}

// finish logs the end of the request. If it failed, finish answers with the error.
// If the answer has begun already or the caller has disconnected, it panics with
// http.ErrAbortHandler, so that the answer cannot look complete.
func (t *task) finish(ctx context.Context, err error) {
	g := t.g
	took := g.clock.Now().Sub(t.request.Arrived)
	g.metrics.Tagged(map[string]string{"Route": t.route.Name}).Histogram("Latency", latencyBuckets).RecordDuration(took.Duration())
	callerGone := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	g.log.Info().Str("Id", string(t.request.ID)).Str("Route", t.route.Name).Str("Customer", string(t.customer)).
		Int64("Config", t.view.Catalog.Version).Int("Status", t.status).Int("Sent", t.attempts).Bool("MayRun", t.mayHaveRun).
		Bool("CallerGone", callerGone).Int64("TookMs", int64(took)).Err(err).Msg("ended")
	if err == nil {
		return
	}
	if t.answer.HeaderWritten() || callerGone {
		t.answer.Abort()
	}
	final := t.finalError(ctx, err)
	if cicadapitch.KindOf(final) == cicadapitch.NotRun {
		t.reportRefusal()
	}
	t.answer.WriteError(final)
}

// finalError returns the error for the caller. Its kind is NotRun only if no
// endpoint can have run the request.
func (t *task) finalError(ctx context.Context, err error) error {
	e := cicadapitch.AsError(err)
	switch {
	case t.mayHaveRun && ctx.Err() != nil:
		return errDeadline
	case t.mayHaveRun:
		return cicadapitch.NewOutcomeUnknown(err.Error())
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
