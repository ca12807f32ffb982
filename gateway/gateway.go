package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
	"cicadapitch.example/cicadapitch/relay"
)

// Membership provides the gateway with the state of the deployment and with
// connections to other hosts. Package membership implements it.
type Membership interface {
	// View returns the current configuration and endpoints.
	View() *fleet.View
	// KnowledgeAge returns how old this host's knowledge of the endpoints is, and false if it has
	// none.
	KnowledgeAge() (cicadapitch.Millis, bool)
	// AwaitKnowledge returns nil if this host's knowledge of the endpoints is young enough to send
	// a request, possibly after a wait. The error is membership.ErrKnowledgeOld.
	AwaitKnowledge(ctx context.Context) error
	// ConfirmVersions returns nil once the Origins of this host has all versions of a service at
	// which streams have begun before the call.
	ConfirmVersions(ctx context.Context, s catalog.ServiceID) error
	// CatalogLag returns how far this host's configuration is behind.
	CatalogLag() fleet.CatalogLag
	// Loads returns the estimated running calls of the other hosts by engine.
	Loads() map[cicadapitch.EndpointID]int
	// EngineReports returns the estimated running calls and outstanding work of the other hosts by engine.
	EngineReports() placement.EngineReports
	// Waits returns the most recently reported queue waits, by shard key, including
	// those of the shards that this host owns.
	Waits() map[string]QueueWaits
	// HostCount returns the number of hosts that may send calls to endpoints,
	// including this host and hosts that are silent.
	HostCount() int
	// Hosts returns the hosts that serve callers, including this host if it does.
	Hosts() []fleet.Host
	// RunningHosts returns the hosts that may have requests, this one included, whether or not this host hears
	// of them.
	RunningHosts() []fleet.Host
	// ShardOwners is OwnersOf with the hosts that are cut off from most endpoints last.
	ShardOwners(key string) []fleet.Host
	// Relays returns the other hosts that are not known to be cut off from endpoints.
	Relays() []fleet.Host
	// OwnersOf returns the hosts in the order in which they own a shard key: the
	// owner, then its replacements.
	OwnersOf(key string) []fleet.Host
	// IsSelf reports whether h is this process.
	IsSelf(h fleet.Host) bool
	// RecordEnded records that a host's process has ended, so that another host owns its shards.
	RecordEnded(h fleet.Host)
	// StoreRollout writes how far a rollout has come, and its status.
	StoreRollout(ctx context.Context, known fleet.Rollout, p fleet.RolloutProgress) error
	// Dialer returns the dialer for other hosts, or nil before this host can connect
	// to them.
	Dialer() *peer.Dialer
}

// Gateway serves the requests of callers. It implements platform.Gate.
type Gateway struct {
	membership Membership
	endpoints  *platform.EndpointClient
	clock      cicadapitch.Clock
	log        zerolog.Logger
	metrics    tally.Scope
	bounds     platform.Bounds
	shards     *ShardRunners
	origins    *origins
	endChecks  *endChecks
	quarantine *quarantine.Ledger
	trials     *quarantine.Trials
	limits     *placement.RateLimits
	rollouts   *rollouts
	host       cicadapitch.HostID
	// peerAddress is the ip:port of this host for other hosts.
	peerAddress string
	// dial opens direct connections to endpoints.
	dial platform.DialFunc
	// paths holds what this host believes of its paths to endpoints, relayDialer connects by
	// it, and relays serves other hosts.
	paths       *relay.Table
	relayDialer *relay.Dialer
	relays      *relay.Server
	// stop is nil until the host is asked to stop. stopAnnounced ends after it is set, givenUp once
	// the host gives up what still runs.
	stop                   atomic.Pointer[plannedStop]
	stopAnnounced, givenUp context.Context
	announceStop, giveUp   context.CancelFunc
	running                runningRequests
	// stagesOfOthers counts the stages that are run for other hosts.
	stagesOfOthers atomic.Int64
	callTimes      *callTimes

	// mu guards the fields below.
	mu           sync.Mutex
	chooser      *placement.Chooser
	retryBudgets map[catalog.ServiceID]*placement.RetryBudget
	// firstEventMillis holds the smoothed time to the first event in milliseconds, by
	// route name.
	firstEventMillis map[string]float64
	outputLengths    *placement.OutputLengths
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLog sets the logger. The default discards all messages.
func WithLog(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithMetrics sets the scope for counters and histograms. The default discards
// them.
func WithMetrics(s tally.Scope) Option { return func(g *Gateway) { g.metrics = s } }

// WithClock sets the clock. The default is the system clock.
func WithClock(c cicadapitch.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithQuarantine sets the ledger of parts that crash endpoints, which the host shares with
// others. The default is a ledger of the gateway's own.
func WithQuarantine(l *quarantine.Ledger) Option { return func(g *Gateway) { g.quarantine = l } }

// WithRateLimits sets the limits that endpoints have named, which the host shares with
// others. The default is none but those named to the gateway.
func WithRateLimits(l *placement.RateLimits) Option { return func(g *Gateway) { g.limits = l } }

// WithEndpointDial sets the function that opens direct connections to endpoints. The default is
// platform.DialEndpoint.
func WithEndpointDial(f platform.DialFunc) Option { return func(g *Gateway) { g.dial = f } }

// New returns a gateway for the host with settings s.
func New(s *platform.Settings, membership Membership, opts ...Option) *Gateway {
	g := &Gateway{
		membership: membership, clock: cicadapitch.NewSystemClock(),
		log: zerolog.Nop(), metrics: tally.NoopScope, bounds: s.Bounds,
		chooser:          placement.NewChooser(s.Zone, s.Bounds.ColdExcess, s.Bounds.ColdSlack),
		retryBudgets:     map[catalog.ServiceID]*placement.RetryBudget{},
		firstEventMillis: map[string]float64{},
		outputLengths:    placement.NewOutputLengths(),
		origins:          newOrigins(),
		endChecks:        newEndChecks(),
		callTimes:        newCallTimes(),
		quarantine:       quarantine.NewLedger(),
		trials:           quarantine.NewTrials(),
		limits:           placement.NewRateLimits(),
		rollouts:         newRollouts(),
		host:             s.Host,
		peerAddress:      s.PeerAddress(),
		dial:             platform.DialEndpoint,
	}
	for _, opt := range opts {
		opt(g)
	}
	g.paths = relay.NewTable(g.logPath)
	g.relayDialer = relay.NewDialer(s.Host, g.dial, g.paths, relayFleet{g}, g.clock, g.log)
	g.relays = relay.NewServer(g.dial, g.paths, g.clock, g.log)
	g.endpoints = platform.NewEndpointClient(platform.WithRateLimits(g.recordRateLimit), platform.WithServerLoads(g.recordServerLoad),
		platform.WithEndpointDial(g.relayDialer.DialContext), platform.WithSendCheck(g.checkSend),
		platform.WithIdleLimit(g.idleLimit), platform.WithMaxUnread(s.MaxUnread()), platform.WithRefusedAnswers(g.recordRefusedAnswer))
	g.chooser.SetRateLimits(g.limits)
	g.limits.OnChange(g.logRateLimit)
	g.quarantine.OnChange(g.logQuarantine)
	g.stopAnnounced, g.announceStop = context.WithCancel(context.Background())
	g.givenUp, g.giveUp = context.WithCancel(context.Background())
	g.shards = newShardRunners(g.endpoints, g.limits, g.clock, g.log, g.metrics)
	g.shards.rollouts = g.rollouts
	g.shards.onFetched = g.freeResults
	g.shards.owns = func(s batch.Shard) bool {
		_, self := g.ownerOf(s)
		return self
	}
	return g
}

// LogRunning adds to a line how many requests are being served, by state, and what is done for other
// hosts.
func (g *Gateway) LogRunning(event *zerolog.Event) *zerolog.Event {
	for s := range g.running {
		event.Int64(requestState(s).String(), g.running[s].Load())
	}
	return event.Int64("StagesOfOthers", g.stagesOfOthers.Load()).Int("Relayed", g.relays.Open())
}

// Origins returns what this host knows of the origins of streams, for the store.
func (g *Gateway) Origins() membership.Origins { return g.origins }

// Shards returns the runners of the shards that this host owns.
func (g *Gateway) Shards() *ShardRunners { return g.shards }

// SetView applies a new view of the deployment.
func (g *Gateway) SetView(v *fleet.View) {
	// The caller holds a lock that this needs.
	go g.endpoints.CloseOutdatedConnections()
	g.setRollouts(v)
	g.shards.setView(v)
	if v.Catalog == nil {
		return
	}
	g.origins.history.Observe(g.clock.Now(), v.Versions)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Retain(v.Contains)
	g.limits.Retain(g.clock.Now(), v.Contains)
}

// Loads returns this host's running calls by endpoint.
func (g *Gateway) Loads() map[cicadapitch.EndpointID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Loads()
}

// Limits implements platform.Gate.
func (g *Gateway) Limits() catalog.Limits {
	if c := g.membership.View().Catalog; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// Serve implements platform.Gate. It returns once the answer to r has been written
// to a. It panics with http.ErrAbortHandler if the answer breaks off, or if the
// request fails after the caller has disconnected.
func (g *Gateway) Serve(ctx context.Context, r *catalog.Request, a *platform.ResponseWriter) {
	p, err := g.admit(r)
	if err != nil {
		g.refuse(r, a, err)
		return
	}
	p.answer = a
	a.Hold().SetTimes(p.deadline, stallTime(p.route))
	g.running.begin(p)
	defer g.running.end(p)
	defer func() { p.reserved.release() }()
	g.metrics.Tagged(map[string]string{"Route": p.route.Name}).Counter("Requests").Inc(1)
	remaining := p.deadline.Sub(g.clock.Now())
	ctx, cancel := context.WithTimeoutCause(ctx, remaining.Duration(), errDeadline)
	defer cancel()
	ctx, cancel = p.untilGivenUp(ctx)
	defer cancel()
	p.finish(ctx, p.serve(ctx))
}

// serve serves an admitted request.
func (p *proxiedRequest) serve(ctx context.Context) error {
	now := p.g.clock.Now()
	if err := p.checkStop(now, p.arrivalNeed(now)); err != nil {
		return err
	}
	if p.service.Engine != nil || p.route.Kind == catalog.Streaming {
		return p.generate(ctx)
	}
	return p.servePlain(ctx)
}

// errDeadline is the cause with which the context of a request ends at its deadline.
var errDeadline = cicadapitch.NewError(cicadapitch.DeadlineExceeded,
	"the time of the request is over", "send it again where that is harmless")

// admit authenticates a request, finds its route and service, and counts the request
// for the service's retry budget. The error is NotRun, NotFound or Denied.
func (g *Gateway) admit(r *catalog.Request) (*proxiedRequest, error) {
	v := g.membership.View()
	if v.Catalog == nil {
		return nil, cicadapitch.NewNotRun("the host has no configuration yet", notReadyRetryAfter)
	}
	lag := g.membership.CatalogLag()
	if lag.Stale {
		return nil, errBehind
	}
	route := v.Catalog.Match(normalizeHost(r.Host), r.Path)
	if route == nil && lag.Latest > 0 {
		return nil, errBehind
	}
	if route == nil {
		return nil, cicadapitch.NewError(cicadapitch.NotFound, "no route matches", "check the host and the path")
	}
	p := &proxiedRequest{g: g, view: v, request: r, route: route, rank: catalog.Rank(route.Priority, route.Priority)}
	for _, part := range r.SharedParts() {
		p.keys = append(p.keys, quarantine.Key(part))
	}
	c, ok := v.Catalog.Authenticate(route, r.Key)
	if !ok && lag.Latest > 0 {
		return nil, errBehind
	}
	if !ok {
		return nil, denied(v.Catalog)
	}
	if c != nil {
		p.customer = c.Name
		if c.HasPriority {
			p.rank = catalog.Rank(c.Priority, route.Priority)
		}
	}
	p.keys = append(p.keys, quarantine.RequestKey(r.Body, r.Method, r.Host, r.Target, string(p.customer), r.PromptIDs()))
	name := route.ChooseService(rand.Float64())
	p.service = v.Catalog.Services[name]
	if p.service == nil {
		return nil, cicadapitch.NewNotRun("service "+string(name)+" is not configured", notReadyRetryAfter)
	}
	p.setDeadlines()
	g.mu.Lock()
	g.retryBudget(name).RecordRequest(g.clock.Now())
	g.mu.Unlock()
	return p, nil
}

// denied returns the error for a request that needs a key and has none of a customer.
func denied(c *catalog.Catalog) error {
	if c.Keys() == 0 {
		return cicadapitch.NewError(cicadapitch.Denied, "no customer has a key at present", "ask the operator for a key")
	}
	return cicadapitch.NewError(cicadapitch.Denied, "the key is unknown", "use a key of a customer")
}

// notReadyRetryAfter is the retry delay for callers of a host that has just
// started and has no configuration yet.
const notReadyRetryAfter cicadapitch.Millis = 300

// errBehind rejects requests that a later configuration, which this host has heard of and
// does not have yet, may allow or route elsewhere.
var errBehind = cicadapitch.NewNotRun("the host's configuration is behind", notReadyRetryAfter)

// refuse logs and counts a request that was not admitted, and answers it with err.
func (g *Gateway) refuse(r *catalog.Request, a *platform.ResponseWriter, err error) {
	event := g.log.Info().Str("Id", string(r.ID)).Str("Host", r.Host).Str("Path", r.Path)
	if lag := g.membership.CatalogLag(); lag.Latest > 0 {
		event = event.Int64("Config", lag.Version).Int64("Latest", lag.Latest).Int64("BehindMs", int64(lag.Age))
	}
	if cicadapitch.KindOf(err) == cicadapitch.NotRun {
		event = event.Stringer("Loss", lossByConfiguration)
		g.countLoss("", lossByConfiguration)
	}
	event.Err(err).Msg("refused")
	g.metrics.Tagged(map[string]string{"Kind": cicadapitch.KindOf(err).String()}).Counter("Refusals").Inc(1)
	a.WriteError(err)
}

// recordRateLimit records what an answer says of its endpoint's rate limit.
func (g *Gateway) recordRateLimit(e catalog.Endpoint, took cicadapitch.Millis, limit platform.RateLimit) {
	if limit.Invalid != "" {
		g.log.Warn().Str("Endpoint", string(e.ID)).Str("Limit", limit.Invalid).Msg("invalid rate limit of an endpoint ignored")
		return
	}
	now := g.clock.Now()
	if limit.Leaving {
		g.limits.RecordLeaving(now, e)
		return
	}
	g.limits.Record(now, now.Add(-took), e, placement.Said{
		Limited: limit.Named, PerSecond: limit.PerSecond, Brittle: limit.Brittle, Refusals: limit.Refusals,
	})
}

// recordServerLoad records what an answer says of its endpoint's load.
func (g *Gateway) recordServerLoad(e catalog.Endpoint, load platform.ServerLoad) {
	switch {
	case load.Invalid != "":
		g.metrics.Counter("InvalidServerLoads").Inc(1)
		g.log.Debug().Str("Endpoint", string(e.ID)).Str("Load", load.Invalid).Msg("invalid load of an endpoint ignored")
	case load.Known:
		g.shards.recordPace(e, float64(load.Pace)/100)
	}
}

// logRateLimit logs a change of an endpoint's rate limit.
func (g *Gateway) logRateLimit(id cicadapitch.EndpointID, limit placement.RateLimit) {
	g.log.Info().Str("Endpoint", string(id)).Bool("Leaving", limit.Leaving).Bool("Limited", limit.Limited).
		Float64("PerSecond", limit.PerSecond).Bool("Brittle", limit.Brittle).Float64("Refusals", limit.Said.Refusals).Msg("rate limit")
	g.metrics.Tagged(map[string]string{"Limited": strconv.FormatBool(limit.Limited)}).Counter("RateLimits").Inc(1)
}

// retryBudget returns the retry budget of a service. The caller holds mu.
func (g *Gateway) retryBudget(s catalog.ServiceID) *placement.RetryBudget {
	b := g.retryBudgets[s]
	if b == nil {
		b = placement.NewRetryBudget(g.bounds.RetryRatio, g.bounds.RetryExtra, g.bounds.RetryWindow)
		g.retryBudgets[s] = b
	}
	return b
}

// normalizeHost returns the host without its port in lower case, as in the
// catalog's routes.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
