package booking

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"
)

const (
	claimPrefix  = "/cicadapitch/claims/"
	claimTimeout = 500 * time.Millisecond

	// leasePeriod is the span in which one lease takes all claims of a host.
	leasePeriod = 60 * cicadapitch.Minute
	// pauseMillis is the span in which the store is not asked after it failed.
	pauseMillis cicadapitch.Millis = 500

	// DefaultClaimRetention is the span for which a claimed key is remembered.
	DefaultClaimRetention = 24 * 60 * cicadapitch.Minute
	// DefaultClaimsPerSecond bounds the claims that a host writes.
	DefaultClaimsPerSecond = 20
)

// Holder names the incarnation that claims.
type Holder struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	// Address is the base URL for callers.
	Address string
}

// Claim is the right of one incarnation to run a caller's idempotency key.
type Claim struct {
	Holder Holder
	// ClaimedAt is by the clock of the holder.
	ClaimedAt cicadapitch.Instant
}

// Claims gives the right to run a caller's idempotency key by one
// compare-and-swap in the store. It writes no more than its budget.
type Claims struct {
	store   cicadapitch.Store
	clock   cicadapitch.Clock
	self    Holder
	limiter *rate.Limiter

	mu          sync.Mutex
	lease       cicadapitch.LeaseID
	leaseEnds   cicadapitch.Instant
	pausedUntil cicadapitch.Instant
}

// ClaimsOption changes Claims.
type ClaimsOption func(*Claims)

// WithClaimBudget bounds the claims that are written.
func WithClaimBudget(perSecond float64, burst int) ClaimsOption {
	return func(c *Claims) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// NewClaims returns the claims of an incarnation.
func NewClaims(store cicadapitch.Store, clock cicadapitch.Clock, self Holder, opts ...ClaimsOption) *Claims {
	c := &Claims{
		store:   store,
		clock:   clock,
		self:    self,
		limiter: rate.NewLimiter(DefaultClaimsPerSecond, DefaultClaimsPerSecond),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Claim returns who holds a key, after claiming it where nobody does. Where the
// store gives no answer or the budget is spent, it returns a NotRun error at
// once. A write whose answer was lost is settled by reading back: whoever is
// found there holds the key, and nobody runs where none is found.
func (c *Claims) Claim(ctx context.Context, customer cicadapitch.CustomerID, key string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := c.clock.Now()
	if err := c.admit(now); err != nil {
		return Claim{}, err
	}
	lease, err := c.leaseFor(ctx, now)
	if err != nil {
		return Claim{}, c.failed(err)
	}
	mine := Claim{Holder: c.self, ClaimedAt: now}
	// Marshal never fails for a struct of numbers and strings.
	value, _ := cbor.Marshal(mine)
	at := claimKey(customer, key)
	_, err = c.store.Commit(ctx,
		[]cicadapitch.Compare{{Key: at}},
		[]cicadapitch.Put{{Key: at, Value: value, Lease: lease}})
	switch {
	case err == nil:
		return mine, nil
	case settles(err):
		return c.read(ctx, at)
	}
	return Claim{}, c.failed(err)
}

// settles reports whether reading back tells who holds the key.
func settles(err error) bool {
	kind := cicadapitch.KindOf(err)
	return kind == cicadapitch.Conflict || kind == cicadapitch.OutcomeUnknown
}

func (c *Claims) read(ctx context.Context, at string) (Claim, error) {
	pair, err := c.store.Get(ctx, at)
	if err != nil {
		return Claim{}, c.failed(err)
	}
	var found Claim
	if err := cbor.Unmarshal(pair.Value, &found); err != nil {
		return Claim{}, cicadapitch.NewOutcomeUnknown("the claim on the key cannot be read")
	}
	return found, nil
}

func (c *Claims) admit(now cicadapitch.Instant) error {
	c.mu.Lock()
	paused := c.pausedUntil.Sub(now)
	c.mu.Unlock()
	if paused > 0 {
		return cicadapitch.NewNotRun("the store gives no answer", paused)
	}
	if !c.limiter.AllowN(time.UnixMilli(int64(now)), 1) {
		return cicadapitch.NewNotRun("the host has claimed as many keys as it may", c.refill())
	}
	return nil
}

// refill returns the span in which the budget gains one claim.
func (c *Claims) refill() cicadapitch.Millis {
	return cicadapitch.Millis(float64(cicadapitch.Second)/float64(c.limiter.Limit())) + 1
}

// failed turns an error of the store into NotRun and keeps the host from asking
// a store that is down for each request.
func (c *Claims) failed(err error) error {
	if cicadapitch.KindOf(err) != cicadapitch.NotFound {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pausedUntil = c.clock.Now().Add(pauseMillis)
	}
	return cicadapitch.NewNotRun("the key could not be claimed in the store", pauseMillis)
}

// leaseFor returns the lease of the claims of this period. It is never renewed:
// it ends, with its claims, once the last of them has been kept for the
// retention.
func (c *Claims) leaseFor(ctx context.Context, now cicadapitch.Instant) (cicadapitch.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.leaseEnds {
		return c.lease, nil
	}
	if now < c.pausedUntil {
		return 0, cicadapitch.NewNotRun("the store gives no answer", pauseMillis)
	}
	id, err := c.store.Grant(ctx, DefaultClaimRetention+leasePeriod)
	if err != nil {
		c.pausedUntil = c.clock.Now().Add(pauseMillis)
		return 0, err
	}
	c.lease = id
	c.leaseEnds = now.Add(leasePeriod)
	return id, nil
}

// claimKey hides the caller's key and keeps its length bounded.
func claimKey(customer cicadapitch.CustomerID, key string) string {
	id := Key{Customer: customer, IdempotencyKey: key}.digest()
	sum := sha256.Sum256(id[:])
	return claimPrefix + hex.EncodeToString(sum[:16])
}
