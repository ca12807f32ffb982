package placement

import (
	"maps"
	"sync"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// limitRelaySlack is the error of an instant that was relayed between hosts as an age.
	limitRelaySlack cicadapitch.Millis = 150
	// liftedMemory is how long it is remembered that an endpoint has lifted its limit, so
	// that older reports do not restore it.
	liftedMemory = 10 * cicadapitch.Second
	// leavingMemory is how long it is remembered that an endpoint leaves once its entry is
	// gone.
	leavingMemory = cicadapitch.Minute
	// brittleMemory is how long after an answer that says so the other processes of a service
	// are presumed to be brittle.
	brittleMemory = cicadapitch.Minute
)

// Said is what an answer says of its endpoint's limits, for the calls of all hosts together.
type Said struct {
	// Limited is true if the endpoint names a limit, PerSecond the calls a second.
	Limited   bool
	PerSecond float64
	// Brittle is true if the endpoint ends when it has to refuse more than Refusals calls in a
	// second for want of room.
	Brittle  bool
	Refusals float64
}

// any reports whether the answer names a limit of any kind.
func (s Said) any() bool { return s.Limited || s.Brittle }

// RateLimit is what an endpoint has said of its limits.
type RateLimit struct {
	Said
	// Service is the service of the endpoint, or empty if a host of an earlier build reported it.
	Service catalog.ServiceID
	// Started identifies the process of the endpoint, as in its entry.
	Started int64
	// Leaving is true once the process has said that it is about to end. It takes no further
	// calls.
	Leaving bool
	// answeredAt is when the answer came that says so.
	answeredAt cicadapitch.Instant
}

// RateLimitReport is what a host tells others of the limit of an endpoint.
type RateLimitReport struct {
	Endpoint cicadapitch.EndpointID
	Started  int64
	Leaving  bool
	Said
	// AnsweredAgo is the age of the answer that said so.
	AnsweredAgo cicadapitch.Millis
	// Service is the service of the endpoint.
	Service catalog.ServiceID
}

// brittleService says that processes of a service were brittle lately.
type brittleService struct {
	// refusals is the least number of refusals in a second that one of them bears.
	refusals float64
	// answeredAt is when the last answer came that says so.
	answeredAt cicadapitch.Instant
}

// knownLimits is an immutable copy of what RateLimits knows.
type knownLimits struct {
	endpoints map[cicadapitch.EndpointID]RateLimit
	brittle   map[catalog.ServiceID]brittleService
}

// RateLimits holds the limits that endpoints have named, to this host or to others. It is
// safe for concurrent use.
type RateLimits struct {
	// current is a copy of limits and brittle, or nil if there are none.
	current atomic.Pointer[knownLimits]

	// mu guards the fields below.
	mu     sync.Mutex
	limits map[cicadapitch.EndpointID]RateLimit
	// brittle holds the services of which a process was brittle in the last brittleMemory.
	brittle  map[catalog.ServiceID]brittleService
	onChange func(cicadapitch.EndpointID, RateLimit)
}

// NewRateLimits returns RateLimits without any.
func NewRateLimits() *RateLimits {
	return &RateLimits{limits: map[cicadapitch.EndpointID]RateLimit{}, brittle: map[catalog.ServiceID]brittleService{}}
}

// OnChange registers a function that is called with each limit that changes. It runs with
// the lock held, so it must not block or call l.
func (l *RateLimits) OnChange(f func(cicadapitch.EndpointID, RateLimit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = f
}

// Record records what an answer of an endpoint to a call that was sent at sentAt says of
// its limits. An answer without one lifts those before it only if it belongs to a later call.
func (l *RateLimits) Record(now, sentAt cicadapitch.Instant, e catalog.Endpoint, said Said) {
	if !said.any() && l.current.Load() == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.limits[e.ID]
	if ok && known.Leaving && known.Started == e.Started {
		return
	}
	sameProcess := ok && known.Started == e.Started
	_, presumed := l.brittle[e.Service]
	if !said.any() && (sameProcess && known.answeredAt > sentAt || !sameProcess && !presumed) {
		return
	}
	l.set(now, e.ID, RateLimit{Said: said, Service: e.Service, Started: e.Started, answeredAt: now})
}

// RecordLeaving records that an endpoint said in an answer that it leaves.
func (l *RateLimits) RecordLeaving(now cicadapitch.Instant, e catalog.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(now, e.ID, RateLimit{Service: e.Service, Started: e.Started, Leaving: true, answeredAt: now})
}

// Merge adds the reports of another host that are newer than what is known. Where answers
// came at about the same time, a limit goes before none.
func (l *RateLimits) Merge(now cicadapitch.Instant, reports []RateLimitReport) {
	if len(reports) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		answeredAt := now.Add(-r.AnsweredAgo)
		known, ok := l.limits[r.Endpoint]
		sameProcess := ok && known.Started == r.Started
		if sameProcess && known.Leaving {
			continue
		}
		newer := answeredAt > known.answeredAt.Add(limitRelaySlack)
		if r.any() && (!known.any() || known.Started != r.Started) {
			newer = answeredAt > known.answeredAt
		}
		if r.Leaving && (sameProcess || newer) || newer && (ok || r.any()) {
			l.set(now, r.Endpoint, RateLimit{r.Said, r.Service, r.Started, r.Leaving, answeredAt})
		}
	}
}

// set stores the limit of an endpoint. The caller holds mu.
func (l *RateLimits) set(now cicadapitch.Instant, id cicadapitch.EndpointID, limit RateLimit) {
	known := l.limits[id]
	l.limits[id] = limit
	l.presumeBrittle(limit)
	if known.Started == limit.Started && known.Leaving == limit.Leaving && known.Said == limit.Said {
		return
	}
	l.publish(now)
	if l.onChange != nil {
		l.onChange(id, limit)
	}
}

// presumeBrittle records the service of an endpoint that is brittle. A process that has just started
// fails under refusals like the one before it, and says so only with its first answer. The caller
// holds mu.
func (l *RateLimits) presumeBrittle(limit RateLimit) {
	if !limit.Brittle || limit.Service == "" {
		return
	}
	known, ok := l.brittle[limit.Service]
	if !ok || limit.Refusals < known.refusals {
		known.refusals = limit.Refusals
	}
	known.answeredAt = max(known.answeredAt, limit.answeredAt)
	l.brittle[limit.Service] = known
}

// publish forgets limits that were lifted long ago and updates current. The caller holds
// mu.
func (l *RateLimits) publish(now cicadapitch.Instant) {
	maps.DeleteFunc(l.brittle, func(_ catalog.ServiceID, b brittleService) bool { return now.Sub(b.answeredAt) >= brittleMemory })
	maps.DeleteFunc(l.limits, func(_ cicadapitch.EndpointID, limit RateLimit) bool {
		_, presumed := l.brittle[limit.Service]
		return !limit.any() && !limit.Leaving && !presumed && now.Sub(limit.answeredAt) >= liftedMemory
	})
	if len(l.limits) == 0 && len(l.brittle) == 0 {
		l.current.Store(nil)
		return
	}
	l.current.Store(&knownLimits{maps.Clone(l.limits), maps.Clone(l.brittle)})
}

// Retain forgets the limits of the endpoints for which known returns false, so that they are
// bounded by the endpoints of the deployment. That an endpoint leaves is remembered for
// leavingMemory after it said so, since an older entry of it may come back.
func (l *RateLimits) Retain(now cicadapitch.Instant, known func(cicadapitch.EndpointID) bool) {
	if l.current.Load() == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.limits, func(id cicadapitch.EndpointID, limit RateLimit) bool {
		return !known(id) && (!limit.Leaving || now.Sub(limit.answeredAt) >= leavingMemory)
	})
	l.publish(now)
}

// Reports returns reports of all limits.
func (l *RateLimits) Reports(now cicadapitch.Instant) []RateLimitReport {
	if l.current.Load() == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []RateLimitReport
	for id, limit := range l.limits {
		out = append(out, RateLimitReport{id, limit.Started, limit.Leaving, limit.Said, max(now.Sub(limit.answeredAt), 0), limit.Service})
	}
	return out
}

// Refusals returns the calls in a second that an endpoint bears to refuse, and whether it has
// said that it is brittle. A process that has said nothing yet is like others of its service.
func (l *RateLimits) Refusals(e catalog.Endpoint) (float64, bool) {
	current := l.current.Load()
	if current == nil {
		return 0, false
	}
	if limit, ok := current.of(e); ok {
		return limit.Said.Refusals, limit.Brittle
	}
	b, ok := current.brittle[e.Service]
	return b.refusals, ok
}

// of returns what the process of an endpoint has said.
func (k *knownLimits) of(e catalog.Endpoint) (RateLimit, bool) {
	limit, ok := k.endpoints[e.ID]
	return limit, ok && limit.Started == e.Started
}

// Leaves reports whether the endpoint's process has said in an answer that it leaves.
func (l *RateLimits) Leaves(e catalog.Endpoint) bool {
	current := l.current.Load()
	if current == nil {
		return false
	}
	limit, ok := current.of(e)
	return ok && limit.Leaving
}

// Any reports whether an endpoint may have a limit.
func (l *RateLimits) Any() bool { return l.current.Load() != nil }

// Of returns the calls a second that an endpoint takes from all hosts together, and
// whether it has named a limit. An endpoint that leaves takes none.
func (l *RateLimits) Of(e catalog.Endpoint) (float64, bool) {
	current := l.current.Load()
	if current == nil {
		return 0, false
	}
	limit, ok := current.of(e)
	return limit.PerSecond, ok && (limit.Limited || limit.Leaving)
}
