package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// knowledgeDivisor divides the time after its word from which an endpoint must get nothing:
	// the result is how old knowledge may be that a request is sent on. The rest is for
	// the way of the request.
	knowledgeDivisor = 2
	// refreshDivisor divides that age again: older knowledge is refreshed in the background.
	// proberDivisor is that of the probers, the hosts that keep knowledge young for all others.
	refreshDivisor = 2
	proberDivisor  = 4
	// ownPollShare is the share of that age from which a host that is no prober asks the store
	// itself.
	ownPollShare = 0.75
	// proberCount is the number of probers of a small fleet. In a large one they are the hosts that
	// watch the store. The first one asks the store again and again whether endpoints have changed,
	// the others ask those before them and then the store.
	proberCount = 3
	// probersAsked is how many of them a host asks before it turns to the store.
	probersAsked = 2
	// askTimeout bounds a question to another host, pollTimeout one to the store.
	askTimeout  cicadapitch.Millis = 250
	pollTimeout cicadapitch.Millis = 500
	// knowledgeWait bounds how long a request waits for a refresh.
	knowledgeWait = cicadapitch.Second
	// refreshPause is the least time between the end of a refresh in vain and the next one.
	refreshPause cicadapitch.Millis = 200
)

// ErrKnowledgeOld means that this host's knowledge of the endpoints is too old to send a request
// on, and could not be refreshed. Nothing was sent.
var ErrKnowledgeOld error = cicadapitch.NewNotRun("this host's knowledge of the endpoints is too old", knowledgeRetryAfter)

// knowledgeRetryAfter is when callers may come back.
const knowledgeRetryAfter cicadapitch.Millis = 400

// refreshes makes sure that one refresh of the knowledge runs at a time.
type refreshes struct {
	mu sync.Mutex
	// running is closed when the refresh that runs ends. It is nil if there is none.
	running chan struct{}
	endedAt cicadapitch.Instant
	// currency is what was last logged.
	currency fleet.Currency
}

// KnowledgeAge returns how old this host's knowledge of the endpoints is, and false if it has
// none.
func (m *Membership) KnowledgeAge() (cicadapitch.Millis, bool) {
	return m.knowledge.Age(m.clock.Now())
}

// AwaitKnowledge returns nil if this host's knowledge of the endpoints may be used to send a
// request. If it is too old, AwaitKnowledge waits for a refresh until ctx ends. The error is
// ErrKnowledgeOld.
func (m *Membership) AwaitKnowledge(ctx context.Context) error {
	if m.knowledgeUsable() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, knowledgeWait.Duration())
	defer cancel()
	select {
	case <-m.refresh():
	case <-ctx.Done():
	}
	if m.knowledgeUsable() {
		return nil
	}
	m.metrics.Counter("KnowledgeTooOld").Inc(1)
	return ErrKnowledgeOld
}

// knowledgeLimit returns how old knowledge may be that a request is sent on, or 0 for no limit.
func (m *Membership) knowledgeLimit() cicadapitch.Millis {
	return m.settings.Bounds.LeavingDelay / knowledgeDivisor
}

// knowledgeUsable reports whether a request may be sent, and logs when the reason changes.
func (m *Membership) knowledgeUsable() bool {
	limit := m.knowledgeLimit()
	if limit == 0 {
		return true
	}
	now := m.clock.Now()
	c := m.knowledge.Currency(now, limit, m.hasOthers())
	m.logCurrency(now, c)
	return c == fleet.Current || c == fleet.StoreAway
}

// hasOthers reports whether there are other hosts.
func (m *Membership) hasOthers() bool {
	return lo.SomeBy(m.View().Hosts, func(h fleet.Host) bool { return !m.IsSelf(h) })
}

// logCurrency logs a change of what the knowledge is worth.
func (m *Membership) logCurrency(now cicadapitch.Instant, c fleet.Currency) {
	m.refreshes.mu.Lock()
	before := m.refreshes.currency
	m.refreshes.currency = c
	m.refreshes.mu.Unlock()
	if c == before {
		return
	}
	age, known := m.knowledge.Age(now)
	if !known {
		age = -1
	}
	m.log.Info().Stringer("Currency", c).Stringer("Before", before).Int64("AgeMs", int64(age)).
		Int64("Revision", m.knowledge.UpTo().Number()).Msg("knowledge of endpoints")
}

// confirmKnowledge records that all changes of endpoints up to a revision are applied, which was
// the store's latest when it answered a question asked at askedAt.
func (m *Membership) confirmKnowledge(askedAt cicadapitch.Instant, revision cicadapitch.StoreRevision) {
	m.knowledge.Advance(revision)
	m.knowledge.Confirm(askedAt, revision)
}

// keepKnowledgeYoung starts a refresh if this host is one of those that ask the store for all
// others, or if its knowledge has become old.
func (m *Membership) keepKnowledgeYoung() {
	limit := m.knowledgeLimit()
	if limit == 0 {
		return
	}
	age, known := m.KnowledgeAge()
	if !known {
		return
	}
	m.metrics.Gauge("KnowledgeAgeMs").Update(float64(age))
	if age > limit/refreshDivisor || age > limit/proberDivisor && slices.ContainsFunc(m.probers(), m.IsSelf) {
		m.refresh()
	}
}

// probers returns the hosts that keep the knowledge of endpoints young for all others, in the order in
// which they ask the store.
func (m *Membership) probers() []fleet.Host {
	if !m.allWatch() {
		return m.watchers()
	}
	return m.rankedHosts().first(watcherRankKey, proberCount)
}

// refresh starts a refresh of the knowledge, unless one runs or has just ended in vain, and returns
// a channel that is closed when it has ended.
func (m *Membership) refresh() <-chan struct{} {
	r := &m.refreshes
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil {
		return r.running
	}
	done := make(chan struct{})
	if r.endedAt > 0 && m.clock.Now().Sub(r.endedAt) < refreshPause {
		close(done)
		return done
	}
	r.running = done
	ctx := context.Background()
	if run := m.runCtx.Load(); run != nil {
		ctx = *run
	}
	go func() {
		m.refreshKnowledge(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running, r.endedAt = nil, m.clock.Now()
		close(done)
	}()
	return done
}

// refreshKnowledge asks probers whether endpoints have changed, and then the store, unless this host is
// no prober and its knowledge may still be used for a while: the probers ask the store for all.
func (m *Membership) refreshKnowledge(ctx context.Context) {
	probers := m.probers()
	rank := slices.IndexFunc(probers, m.IsSelf)
	d := m.dialers.Load()
	for _, h := range askedProbers(probers, rank) {
		if d == nil {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		err := m.fetchChanges(askCtx, d.Control, h)
		cancel()
		if age, ok := m.KnowledgeAge(); err == nil && ok && age <= m.knowledgeLimit()/refreshDivisor {
			return
		}
	}
	age, ok := m.KnowledgeAge()
	if len(probers) > 0 && rank < 0 && ok && float64(age) < ownPollShare*float64(m.knowledgeLimit()) {
		return
	}
	m.pollStore(ctx)
}

// askedProbers returns the probers that a host asks: those before it in their order, or any if it
// is none of them and its rank -1.
func askedProbers(probers []fleet.Host, rank int) []fleet.Host {
	if rank >= 0 {
		return probers[:min(rank, probersAsked)]
	}
	return lo.Map(rand.Perm(len(probers))[:min(probersAsked, len(probers))], func(i, _ int) fleet.Host { return probers[i] })
}

// pollStore asks the store for the changes of endpoints that this host lacks.
func (m *Membership) pollStore(run context.Context) {
	ctx, cancel := context.WithTimeout(run, pollTimeout.Duration())
	defer cancel()
	after := m.knowledge.UpTo()
	if after == 0 {
		return // FollowStore reads everything first
	}
	askedAt := m.clock.Now()
	events, revision, err := m.store.Poll(ctx, platform.EndpointKeyPrefix(), after)
	if errors.Is(err, platform.ErrCompacted) {
		pairs, listedAt, listErr := m.store.List(ctx, "")
		if err = listErr; err == nil {
			m.applyListing(recordsOfPairs(pairs), listedAt)
			revision = listedAt
		}
	}
	if run.Err() != nil {
		return // the host ends
	}
	if err != nil {
		m.knowledge.StoreFailed(m.clock.Now())
		m.recordStoreFailure(err)
		m.log.Warn().Int64("TookMs", int64(m.clock.Now().Sub(askedAt))).Err(err).Msg("asking the store for changes of endpoints failed")
		return
	}
	m.markStoreUp()
	m.announceEndpoints(m.applyPart(recordsOfEvents(events), storePoll))
	m.confirmKnowledge(askedAt, revision)
	m.endSilentWatch(revision)
}
