package idempotency

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

	// leasePeriod is the time for which a host attaches its new claims to the
	// same lease.
	leasePeriod = 60 * cicadapitch.Minute
	// pauseMillis is the time without store calls after one has failed.
	pauseMillis cicadapitch.Millis = 500

	// ClaimRetention is the least time for which the store keeps a claim.
	ClaimRetention = 24 * 60 * cicadapitch.Minute
	// DefaultClaimsPerSecond limits the rate at which a host writes claims, and
	// is also the burst.
	DefaultClaimsPerSecond = 20
)

// Holder identifies the incarnation that holds a claim.
type Holder struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	// Address is the base URL at which callers reach the host.
	Address string
}

// Claim records which incarnation may run the request of an idempotency key.
type Claim struct {
	Holder Holder
	// ClaimedAt is the time of the claim by the holder's clock.
	ClaimedAt cicadapitch.Instant
}

// Claims decides which incarnation may run the request of an idempotency key,
// by one compare-and-swap in the store. Its writes are rate-limited. It is safe
// for concurrent use.
type Claims struct {
	store   cicadapitch.Store
	clock   cicadapitch.Clock
	self    Holder
	limiter *rate.Limiter

	mu sync.Mutex
	// lease takes new claims until leaseEnds.
	lease     cicadapitch.LeaseID
	leaseEnds cicadapitch.Instant
	// pausedUntil is the time before which the store is not called.
	pausedUntil cicadapitch.Instant
}

// ClaimsOption configures Claims.
type ClaimsOption func(*Claims)

// WithClaimBudget limits the rate at which claims are written.
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

// Claim claims a customer's idempotency key for this incarnation and returns
// the claim in force, which names another holder if the key had been claimed
// before. It returns a NotRun error if the store fails or the rate limit is
// exceeded. If the result of the write is lost, Claim reads the key and returns
// the claim that it finds, or a NotRun error if there is none. An OutcomeUnknown
// error means that the stored claim cannot be decoded.
func (c *Claims) Claim(ctx context.Context, customer cicadapitch.CustomerID, key string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := c.clock.Now()
	if err := c.checkLimits(now); err != nil {
		return Claim{}, err
	}
	lease, err := c.currentLease(ctx, now)
	if err != nil {
		return Claim{}, c.pauseAfterFailure(err)
	}
	mine := Claim{Holder: c.self, ClaimedAt: now}
	// Marshal never fails for a struct of numbers and strings.
	value, _ := cbor.Marshal(mine)
	storeKey := claimKey(customer, key)
	_, err = c.store.Commit(ctx,
		[]cicadapitch.Condition{{Key: storeKey}},
		[]cicadapitch.Write{{Key: storeKey, Value: value, Lease: lease}})
	switch {
	case err == nil:
		return mine, nil
	case needsReadBack(err):
		return c.read(ctx, storeKey)
	}
	return Claim{}, c.pauseAfterFailure(err)
}

// needsReadBack reports whether, after this error of a write, the key must be
// read to find out who holds it.
func needsReadBack(err error) bool {
	kind := cicadapitch.KindOf(err)
	return kind == cicadapitch.Conflict || kind == cicadapitch.OutcomeUnknown
}

// read returns the claim that is stored at a key.
func (c *Claims) read(ctx context.Context, storeKey string) (Claim, error) {
	pair, err := c.store.Get(ctx, storeKey)
	if err != nil {
		return Claim{}, c.pauseAfterFailure(err)
	}
	var found Claim
	if err := cbor.Unmarshal(pair.Value, &found); err != nil {
		return Claim{}, cicadapitch.NewOutcomeUnknown("the claim on the key cannot be read")
	}
	return found, nil
}

// checkLimits returns a NotRun error while store calls are paused or the rate
// limit is exceeded.
func (c *Claims) checkLimits(now cicadapitch.Instant) error {
	c.mu.Lock()
	paused := c.pausedUntil.Sub(now)
	c.mu.Unlock()
	if paused > 0 {
		return cicadapitch.NewNotRun("the store gives no answer", paused)
	}
	if !c.limiter.AllowN(time.UnixMilli(int64(now)), 1) {
		return cicadapitch.NewNotRun("the host has claimed as many keys as it may", c.retryDelay())
	}
	return nil
}

// retryDelay returns the time until the rate limit allows a further claim.
func (c *Claims) retryDelay() cicadapitch.Millis {
	return cicadapitch.Millis(float64(cicadapitch.Second)/float64(c.limiter.Limit())) + 1
}

// pauseAfterFailure pauses store calls after an error of the store, so that a store
// that is down isn't called for each request. NotFound causes no pause. It returns a
// NotRun error in place of the error of the store.
func (c *Claims) pauseAfterFailure(err error) error {
	if cicadapitch.KindOf(err) != cicadapitch.NotFound {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pausedUntil = c.clock.Now().Add(pauseMillis)
	}
	return cicadapitch.NewNotRun("the key could not be claimed in the store", pauseMillis)
}

// currentLease returns the lease for claims made now, and grants a new one for
// each leasePeriod. Leases are never renewed: a lease ends ClaimRetention after
// its leasePeriod, and the store then deletes all its claims.
func (c *Claims) currentLease(ctx context.Context, now cicadapitch.Instant) (cicadapitch.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.leaseEnds {
		return c.lease, nil
	}
	if now < c.pausedUntil {
		return 0, cicadapitch.NewNotRun("the store gives no answer", pauseMillis)
	}
	id, err := c.store.Grant(ctx, ClaimRetention+leasePeriod)
	if err != nil {
		c.pausedUntil = c.clock.Now().Add(pauseMillis)
		return 0, err
	}
	c.lease = id
	c.leaseEnds = now.Add(leasePeriod)
	return id, nil
}

// claimKey returns the store key of a claim. It contains a hash, so that the
// caller's key is not disclosed and the length is fixed.
func claimKey(customer cicadapitch.CustomerID, key string) string {
	id := Key{Customer: customer, IdempotencyKey: key}.digest()
	sum := sha256.Sum256(id[:])
	return claimPrefix + hex.EncodeToString(sum[:16])
}
