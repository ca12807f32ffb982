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
	// finalMargin is how long before a request's limit its final answer is
	// given, for transit.
	finalMargin cicadapitch.Millis = 30
	// abandonFloor, abandonAims and abandonGaps tell after how long without an
	// event callers give up a stream: the longest of the three.
	abandonFloor = 2 * cicadapitch.Second
	abandonAims  = 4
	abandonGaps  = 8
	// maxConnectFailures bounds the endpoints tried without a connection.
	maxConnectFailures = 3
	// inlineAnswer is the largest answer that is read whole before it is passed
	// on, so that a broken one can be replaced by another attempt.
	inlineAnswer = 256 << 10
	// tryPart is the part of the objective after which an idempotent request goes to
	// another endpoint: what is left suffices for one usual call.
	tryPart = 0.7
	// chooseWait is how long a request whose stages are done waits for an engine
	// that bears one more, looking each choosePause.
	chooseWait  cicadapitch.Millis = 800
	choosePause cicadapitch.Millis = 40
	// fullRetry is when to come back to endpoints that were full.
	fullRetry cicadapitch.Millis = 250
)

// The phases of a request.
const (
	waiting int32 = iota
	// committed requests go to an endpoint.
	committed
	// turnedAway requests never will.
	turnedAway
)

// task is one request on its way.
type task struct {
	g        *Gateway
	view     *fleet.View
	request  *catalog.Request
	route    *catalog.Route
	service  *catalog.Service
	customer cicadapitch.CustomerID
	priority int
	answer   *platform.ResponseWriter
	// aim is when the answer is due, limit when it is of no use any more.
	aim, limit cicadapitch.Instant
	// firstBy is when the caller of a stream has given up waiting for an event.
	firstBy cicadapitch.Instant
	// sent counts the endpoints that got the request, exclude names them.
	sent    int
	exclude map[cicadapitch.EndpointID]bool
	// phase tells whether an endpoint has got the request.
	phase atomic.Int32
	// mayRun is true once an endpoint may have run the request.
	mayRun bool
	// waits are the waits of stage services as their owners told them.
	waits map[string]Waits
	// returned is set where the caller was refused before.
	returned bool
	// status is what the caller got, or 0.
	status int
}

func (t *task) setLimits() {
	r := t.request
	limit := cicadapitch.Millis(1<<62 - 1)
	if r.Patience > 0 {
		limit = r.Patience
	}
	if t.route.Timeout > 0 {
		limit = min(limit, t.route.Timeout)
	}
	if limit > cicadapitch.Minute*10 {
		limit = cicadapitch.Minute * 10
	}
	t.limit = r.Arrived.Add(max(limit-finalMargin, limit/2))
	t.aim = r.Arrived.Add(t.route.Aim)
	t.firstBy = t.limit
	if t.route.Kind == catalog.Streaming {
		patience := max(abandonFloor, abandonAims*t.route.Aim, abandonGaps*t.route.GapAim)
		t.firstBy = min(t.limit, r.Arrived.Add(patience))
	}
	t.exclude = map[cicadapitch.EndpointID]bool{}
}

func (t *task) left() cicadapitch.Millis { return max(t.limit.Sub(t.g.clock.Now()), 1) }

// choose picks an endpoint and counts the call that starts there.
// zone, if set, is where an engine should be.
func (t *task) choose(peek bool, zone cicadapitch.ZoneID) (fleet.Endpoint, error) {
	g := t.g
	now := g.clock.Now()
	v := g.mesh.View()
	w := placement.Want{
		Service: t.service, Session: t.request.Session(), Exclude: t.exclude,
		Hosts: g.mesh.HostCount(), Zone: zone,
	}
	list := v.Endpoints(t.service.Name)
	var (
		e  fleet.Endpoint
		ok bool
	)
	if t.service.Engine != nil {
		w.Others = g.mesh.Loads()
	}
	if t.service.ColdPerSecond > 0 {
		w.Rank = t.rank()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.service.Engine != nil {
		e, ok = g.chooser.Engine(now, list, w)
	} else {
		e, ok = g.chooser.Plain(now, list, w)
	}
	if !ok {
		return e, cicadapitch.NewNotRun("no endpoint of "+string(t.service.Name)+" can take the request", fullRetry)
	}
	if !peek {
		g.chooser.Started(e.ID)
	}
	return e, nil
}

// rank returns a function that ranks this host among all hosts for a key. It asks
// the mesh now, since the function is called with the gateway's lock held, which
// the mesh takes to hand out a view.
func (t *task) rank() func(string) int {
	hosts := t.g.mesh.Hosts()
	return func(key string) int {
		owners := fleet.Rank(key, hosts, func(h fleet.Host) string { return h.Incarnation })
		return slices.IndexFunc(owners, t.g.mesh.IsSelf)
	}
}

// chooseSoon waits a moment where all endpoints have got as many requests as
// they bear for now.
func (t *task) chooseSoon(ctx context.Context, zone cicadapitch.ZoneID) (fleet.Endpoint, error) {
	for waited := cicadapitch.Millis(0); ; waited += choosePause {
		e, err := t.choose(false, zone)
		if err == nil || waited >= chooseWait || len(t.g.mesh.View().Endpoints(t.service.Name)) <= len(t.exclude) {
			return e, err
		}
		if t.g.clock.Sleep(ctx, choosePause) != nil {
			return e, err
		}
	}
}

func (t *task) ended(id cicadapitch.EndpointID) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.chooser.Ended(id)
}

func (t *task) succeeded(id cicadapitch.EndpointID, took cicadapitch.Millis) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.chooser.Health(id).Succeeded(t.g.clock.Now(), took)
}

func (t *task) failed(id cicadapitch.EndpointID, weight float64) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.chooser.Health(id).Failed(t.g.clock.Now(), weight)
}

// mayRepeat reports whether the request may go to one more endpoint.
func (t *task) mayRepeat() bool {
	if t.sent >= t.route.MaxAttempts || t.mayRun && !t.route.Idempotent() {
		return false
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	return t.g.budget(t.service.Name).Repeat(t.g.clock.Now(), t.g.mesh.HostCount())
}

// plain serves a request of a plain service.
func (t *task) plain(ctx context.Context) error {
	for connects := 0; ; {
		e, err := t.choose(false, "")
		if err != nil {
			return err
		}
		tryCtx, cancel := t.tryTime(ctx)
		done, err := t.attempt(tryCtx, e)
		cancel()
		if done {
			return err
		}
		t.exclude[e.ID] = true
		if cicadapitch.KindOf(err) == cicadapitch.NotRun && t.sent == 0 && connects < maxConnectFailures {
			connects++
			continue
		}
		if ctx.Err() != nil || !t.mayRepeat() {
			return err
		}
	}
}

// tryTime bounds an attempt at a plain service while another one may follow: an
// endpoint that is silent for most of the objective is left for another.
func (t *task) tryTime(ctx context.Context) (context.Context, context.CancelFunc) {
	if !t.route.Idempotent() || t.sent+1 >= t.route.MaxAttempts || t.route.Aim <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, cicadapitch.Millis(tryPart*float64(t.route.Aim)).Duration(), errSilent)
}

// attempt sends the request to one endpoint. It reports whether the request is
// settled; otherwise the error says why it is not.
func (t *task) attempt(ctx context.Context, e fleet.Endpoint) (bool, error) {
	defer t.ended(e.ID)
	start := t.g.clock.Now()
	reply, err := t.send(ctx, e, nil, "")
	if err != nil {
		return false, err
	}
	defer reply.Close()
	body, err := t.readWhole(reply)
	if err != nil {
		t.failed(e.ID, 1)
		return false, cicadapitch.NewOutcomeUnknown("the answer of " + string(e.ID) + " broke off: " + err.Error())
	}
	if reply.Status >= 500 && t.route.Idempotent() && t.sent < t.route.MaxAttempts {
		t.failed(e.ID, 0)
		return false, cicadapitch.NewOutcomeUnknown(string(e.ID) + " failed")
	}
	if reply.Status < 500 {
		t.succeeded(e.ID, t.g.clock.Now().Sub(start))
	}
	t.status = reply.Status
	t.answer.WriteHeader(reply)
	if _, err := t.answer.Write(body); err != nil {
		return true, nil // the caller has gone
	}
	return true, t.passOn(reply)
}

// readWhole reads a body up to inlineAnswer bytes.
func (t *task) readWhole(reply *platform.Reply) ([]byte, error) {
	return io.ReadAll(io.LimitReader(reply, inlineAnswer))
}

// passOn passes on what follows the first part of a long body.
func (t *task) passOn(reply *platform.Reply) error {
	_, err := io.Copy(t.answer, reply)
	return err
}

// send sends the request to an endpoint and sorts out refusals. A reply is
// signed or a failure of the endpoint's own.
func (t *task) send(ctx context.Context, e fleet.Endpoint, inputs []string, resume string) (*platform.Reply, error) {
	if t.phase.Load() != committed && !t.phase.CompareAndSwap(waiting, committed) {
		return nil, errStopping
	}
	reply, err := t.g.endpoints.Send(ctx, platform.Call{
		Endpoint: e.Endpoint, Request: t.request, Customer: t.customer, Timeout: t.left(),
		Inputs: inputs, Urgency: t.urgency(), ResumeAfter: resume,
	})
	t.g.log.Info().Str("Id", string(t.request.ID)).Str("Endpoint", string(e.ID)).
		Int64("EntryRevision", int64(e.Revision)).Int64("LeftMs", int64(t.left())).Int("Inputs", len(inputs)).Err(err).Msg("sent")
	if err != nil {
		if cicadapitch.KindOf(err) != cicadapitch.NotRun {
			t.sent++
			t.mayRun = true
		}
		switch {
		case ctx.Err() == nil:
			t.failed(e.ID, 1)
			t.g.endpoints.CloseIdleConnections(e.Address)
		case errors.Is(context.Cause(ctx), errSilent):
			t.failed(e.ID, silentWeight)
		}
		return nil, err
	}
	t.sent++
	if err := t.refusal(reply, e); err != nil {
		// What the endpoint says beside its refusal is of no use.
		_, _ = io.Copy(io.Discard, io.LimitReader(reply, inlineAnswer))
		reply.Close()
		return nil, err
	}
	t.mayRun = true
	return reply, nil
}

// silentWeight is the weight of a silent endpoint among failures: it may be a
// single slow call.
const silentWeight = 0.3

var errSilent = errors.New("the endpoint is silent")

var errInputGone = errors.New("an input is gone")

func (t *task) refusal(reply *platform.Reply, e fleet.Endpoint) error {
	switch {
	case reply.NotRun:
		t.failed(e.ID, 0)
		if reply.InputMissing() {
			return errInputGone
		}
		return cicadapitch.NewNotRun(string(e.ID)+" refused the request", fullRetry)
	case reply.UnconfirmedRefusal():
		t.mayRun = true
		t.failed(e.ID, 1)
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " refused without saying that it did not run the request")
	case reply.Status < 300 && !reply.Signed:
		t.mayRun = true
		t.failed(e.ID, 1)
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " answered without a signature")
	}
	return nil
}

// urgency ranks the request at an engine.
func (t *task) urgency() int {
	if t.service.Engine == nil {
		return -1
	}
	return min(max(t.priority, 0), 9)
}

// finish gives the final answer if the caller has none yet.
func (t *task) finish(ctx context.Context, err error) {
	g := t.g
	took := g.clock.Now().Sub(t.request.Arrived)
	g.metrics.Tagged(map[string]string{"Route": t.route.Name}).Histogram("Latency", Buckets).RecordDuration(took.Duration())
	gone := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLimit)
	g.log.Info().Str("Id", string(t.request.ID)).Str("Route", t.route.Name).Str("Customer", string(t.customer)).
		Int64("Config", t.view.Catalog.Version).Int("Status", t.status).Int("Sent", t.sent).Bool("MayRun", t.mayRun).
		Bool("CallerGone", gone).Int64("TookMs", int64(took)).Err(err).Msg("ended")
	if err == nil {
		return
	}
	if t.answer.HeaderWritten() || gone {
		t.answer.Abort()
	}
	final := t.finalError(ctx, err)
	if cicadapitch.KindOf(final) == cicadapitch.NotRun {
		t.noteRefusal()
	}
	t.answer.WriteError(final)
}

// finalError makes sure that "not run" is said only where it is true.
func (t *task) finalError(ctx context.Context, err error) error {
	e := cicadapitch.AsError(err)
	switch {
	case t.mayRun && ctx.Err() != nil:
		return errLimit
	case t.mayRun:
		return cicadapitch.NewOutcomeUnknown(err.Error())
	case e != nil && e.Kind == cicadapitch.NotRun && e.RetryAfter > 0:
		return e.After(spread(e.RetryAfter))
	}
	return cicadapitch.NewNotRun(err.Error(), fullRetry)
}

// spread varies a span by a fifth either way, so that callers who were refused
// together do not come back together.
func spread(m cicadapitch.Millis) cicadapitch.Millis {
	return cicadapitch.Millis(float64(m) * (0.8 + 0.4*rand.Float64()))
}
