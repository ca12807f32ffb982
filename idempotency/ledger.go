package idempotency

import (
	"crypto/sha256"

	"cicadapitch.example/cicadapitch"
)

const ledgerShards = 64

// Key identifies a request in a Ledger.
type Key struct {
	Customer cicadapitch.CustomerID
	// Token is the verified token, empty if an idempotency key is used.
	Token cicadapitch.Token
	// IdempotencyKey is the caller's key, empty if a token is used.
	IdempotencyKey string
}

// digest is a fixed-length hash of a Key, for which callers cannot construct
// collisions.
type digest [16]byte

func (k Key) digest() digest {
	h := sha256.New()
	for _, part := range []string{string(k.Customer), string(k.Token), k.IdempotencyKey} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// Limits bounds the memory of a Ledger.
type Limits struct {
	// Retention is the time after minting in which a request may start and its
	// answer is kept.
	Retention cicadapitch.Millis
	// Bytes bounds the total size of the kept answers.
	Bytes cicadapitch.Bytes
	// Entries bounds the number of entries. New requests are refused beyond it.
	Entries int
}

// Ledger records which requests of one incarnation have started, and their
// outcomes. It lets each start at most once. It is safe for concurrent use.
type Ledger struct {
	clock       cicadapitch.Clock
	incarnation cicadapitch.Incarnation
	limits      Limits
	shards      [ledgerShards]ledgerShard
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithLimits sets the limits of the ledger.
func WithLimits(l Limits) LedgerOption { return func(g *Ledger) { g.limits = l } }

// NewLedger returns an empty ledger for an incarnation.
func NewLedger(clock cicadapitch.Clock, incarnation cicadapitch.Incarnation, opts ...LedgerOption) *Ledger {
	l := &Ledger{
		clock:       clock,
		incarnation: incarnation,
		limits:      Limits{Retention: 10 * cicadapitch.Minute, Bytes: 32 << 20, Entries: 200_000},
	}
	for _, opt := range opts {
		opt(l)
	}
	for i := range l.shards {
		l.shards[i].entries = make(map[digest]*Entry)
		l.shards[i].limit = l.limits.Bytes / ledgerShards
	}
	return l
}

// Incarnation returns the incarnation of the ledger.
func (l *Ledger) Incarnation() cicadapitch.Incarnation { return l.incarnation }

// Begin registers a request. If the request is new, first is true and the
// caller must run it and call Finish on the entry. Otherwise the entry is that
// of the earlier run. IssuedAt is when the token was minted or the idempotency key
// was claimed. If that is longer ago than the retention, Begin returns an
// OutcomeUnknown error, because the request may have run and its entry may have
// been removed. A full ledger gives a NotRun error.
func (l *Ledger) Begin(k Key, issuedAt cicadapitch.Instant) (e *Entry, first bool, err error) {
	now := l.clock.Now()
	id := k.digest()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, l.limits.Retention)
	if e, ok := s.entries[id]; ok {
		return e, false, nil
	}
	if now.Sub(issuedAt) > l.limits.Retention {
		return nil, false, expiredError()
	}
	if len(s.entries) >= max(l.limits.Entries/ledgerShards, 1) {
		return nil, false, cicadapitch.NewNotRun("the host remembers as many requests as it can", cicadapitch.Second)
	}
	return s.add(id, k.Token == "", issuedAt), true, nil
}

// FindOrRefuse returns the entry of a request whose outcome a caller asks for.
// If the request has not begun, it is refused permanently, so that it cannot
// run after the caller has the outcome: the entry is then finished with phase
// Refused. The errors are those of Begin.
func (l *Ledger) FindOrRefuse(k Key, issuedAt cicadapitch.Instant) (*Entry, error) {
	e, first, err := l.Begin(k, issuedAt)
	if err != nil {
		return nil, err
	}
	if first {
		e.refuse()
	}
	return e, nil
}

// Find returns the entry of a request, or false if there is none.
func (l *Ledger) Find(k Key) (*Entry, bool) {
	id := k.digest()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return e, ok
}

// Len returns the number of entries.
func (l *Ledger) Len() int {
	n := 0
	for i := range l.shards {
		n += l.shards[i].len()
	}
	return n
}

func (l *Ledger) shard(id digest) *ledgerShard {
	return &l.shards[id[0]%ledgerShards]
}

// expiredError returns the error for a request older than the retention.
func expiredError() error {
	return cicadapitch.NewOutcomeUnknown("the token or key is older than the host remembers")
}
