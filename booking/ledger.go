package booking

import (
	"crypto/sha256"

	"cicadapitch.example/cicadapitch"
)

const ledgerShards = 64

// Key names one right to run in a ledger.
type Key struct {
	Customer cicadapitch.CustomerID
	// Token is the proved token, empty for an idempotency key.
	Token cicadapitch.Token
	// IdempotencyKey is the caller's own key, empty for a token.
	IdempotencyKey string
}

// digest is a short form of a Key that callers cannot make collide.
type digest [16]byte

func (k Key) digest() digest {
	h := sha256.New()
	for _, part := range []string{string(k.Customer), string(k.Token), k.IdempotencyKey} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// Limits bounds what a ledger keeps.
type Limits struct {
	// Retention is the span after the mint time in which a right may start
	// and its answer is kept.
	Retention cicadapitch.Millis
	// Bytes bounds the kept answers.
	Bytes cicadapitch.Bytes
	// Entries bounds the kept rights. Where it is reached, new ones are
	// refused.
	Entries int
}

// Ledger records which rights of one incarnation have started and what became
// of them. It starts each at most once. All methods are safe for concurrent
// use.
type Ledger struct {
	clock       cicadapitch.Clock
	incarnation cicadapitch.Incarnation
	limits      Limits
	shards      [ledgerShards]shard
}

// LedgerOption changes a Ledger.
type LedgerOption func(*Ledger)

// WithLimits sets the limits of the ledger.
func WithLimits(l Limits) LedgerOption { return func(g *Ledger) { g.limits = l } }

// NewLedger returns an empty ledger of an incarnation.
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

// Begin takes the right to run. It returns a new entry with first set, which
// the caller must finish, or the entry of the run that already began. A right
// that is older than the retention gives an OutcomeUnknown error, because it
// may have run and been forgotten. A full ledger gives a NotRun error.
func (l *Ledger) Begin(k Key, mintedAt cicadapitch.Instant) (e *Entry, first bool, err error) {
	now := l.clock.Now()
	id := k.digest()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, l.limits.Retention)
	if e, ok := s.entries[id]; ok {
		return e, false, nil
	}
	if now.Sub(mintedAt) > l.limits.Retention {
		return nil, false, expired()
	}
	if len(s.entries) >= max(l.limits.Entries/ledgerShards, 1) {
		return nil, false, cicadapitch.NewNotRun("the host remembers as many requests as it can", cicadapitch.Second)
	}
	return s.add(id, k.Token == "", mintedAt), true, nil
}

// FindOrRefuse returns the entry of a right for a caller that asks for the outcome.
// A right that has not begun is refused for good and has no entry to wait for:
// the returned entry is then already finished with phase Refused.
func (l *Ledger) FindOrRefuse(k Key, mintedAt cicadapitch.Instant) (*Entry, error) {
	e, first, err := l.Begin(k, mintedAt)
	if err != nil {
		return nil, err
	}
	if first {
		e.refuse()
	}
	return e, nil
}

// Find returns the entry of a right that has begun and is still kept.
func (l *Ledger) Find(k Key) (*Entry, bool) {
	id := k.digest()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return e, ok
}

// Len returns the number of kept rights.
func (l *Ledger) Len() int {
	n := 0
	for i := range l.shards {
		n += l.shards[i].len()
	}
	return n
}

func (l *Ledger) shard(id digest) *shard {
	return &l.shards[id[0]%ledgerShards]
}

func expired() error {
	return cicadapitch.NewOutcomeUnknown("the token or key is older than the host remembers")
}
