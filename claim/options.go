package claim

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Policy holds the spans by which ownership is decided.
type Policy struct {
	// RenewEvery is the least span between two renewals of the lease.
	RenewEvery cicadapitch.Millis
	// RenewalsPerSecond bounds the renewals of the whole fleet. The span
	// between two renewals grows with the fleet to keep to it.
	RenewalsPerSecond int
	// RenewalsPerLease is how many renewals fit into a lease.
	RenewalsPerLease int
	// IsolationTimeout is how long a host that hears neither the store nor most of
	// the hosts goes on starting work. It cannot learn of changes then, which
	// must be in force everywhere within seconds, however long its lease is.
	IsolationTimeout cicadapitch.Millis
	// StoreLossTimeout is how long a ready host does not reach the store, while others
	// do, before it counts as no candidate for shards.
	StoreLossTimeout cicadapitch.Millis
	// LeaseCallTimeout bounds one call for the lease, so that hosts notice an
	// outage before their leases run out.
	LeaseCallTimeout cicadapitch.Millis
	// LeaseMargin is how long before the end of its lease a host stops to start
	// work.
	LeaseMargin cicadapitch.Millis
	// MaxTickGap is the longest span between two ticks of a host that was
	// not paused.
	MaxTickGap cicadapitch.Millis
	// OutageExtension is how long a host carries on without a lease after each
	// tick at which the store is down for all.
	OutageExtension cicadapitch.Millis
	// ReclaimTimeout is how long a host that carried on has, once the store is back
	// and its lease gone, to claim its shards again.
	ReclaimTimeout cicadapitch.Millis
	// StartDelay is how long after its start a host makes its first claim.
	StartDelay cicadapitch.Millis
	// DiscoveryTime is how long after its start a host has heard of the others.
	DiscoveryTime cicadapitch.Millis
	// ExtensionDelay is how long a host that was paused watches its peers before it
	// carries on without a lease.
	ExtensionDelay cicadapitch.Millis
	// HandOverAfter is how long another host must be the better owner before
	// a shard moves to it.
	HandOverAfter cicadapitch.Millis
	// HandOversPerTick bounds the shards that move at once.
	HandOversPerTick int
	// OutageClaimDelay is how long a host waits after an outage of the store, and after
	// the last sign of an owner that may have carried on through it, before it
	// claims a shard. It is longer than peers take to suspect each other and
	// Extension together.
	OutageClaimDelay cicadapitch.Millis
	// RetryEvery is the span between two claims of a shard that another host
	// holds.
	RetryEvery cicadapitch.Millis
	// CrossRegionAfter is how long a region must be without hosts before hosts of
	// other regions own its shards.
	CrossRegionAfter cicadapitch.Millis
	// ShardsPerCommit bounds the shards that one write claims.
	ShardsPerCommit int
}

// StandardPolicy returns the spans that a deployment uses.
func StandardPolicy() Policy {
	return Policy{
		RenewEvery:        2 * cicadapitch.Second,
		RenewalsPerSecond: 100,
		RenewalsPerLease:  4,
		LeaseMargin:       1 * cicadapitch.Second,
		MaxTickGap:        2 * cicadapitch.Second,
		OutageExtension:   2 * cicadapitch.Second,
		IsolationTimeout:  2 * cicadapitch.Second,
		StoreLossTimeout:  3 * cicadapitch.Second,
		LeaseCallTimeout:  1 * cicadapitch.Second,
		ReclaimTimeout:    6 * cicadapitch.Second,
		StartDelay:        1 * cicadapitch.Second,
		DiscoveryTime:     10 * cicadapitch.Second,
		ExtensionDelay:    5 * cicadapitch.Second,
		HandOverAfter:     5 * cicadapitch.Second,
		HandOversPerTick:  4,
		OutageClaimDelay:  6 * cicadapitch.Second,
		RetryEvery:        1 * cicadapitch.Second,
		CrossRegionAfter:  10 * cicadapitch.Minute,
		ShardsPerCommit:   32,
	}
}

// renewEvery returns the span between renewals in a fleet of n hosts.
func (p Policy) renewInterval(n int) cicadapitch.Millis {
	return max(p.RenewEvery, p.callInterval(n))
}

// span returns the span in which n hosts may make one call each.
func (p Policy) callInterval(n int) cicadapitch.Millis {
	return cicadapitch.Millis(n) * cicadapitch.Second / cicadapitch.Millis(p.RenewalsPerSecond)
}

// ttl returns the length of a lease in a fleet of n hosts, in whole seconds.
func (p Policy) leaseTTL(n int) cicadapitch.Millis {
	span := p.renewInterval(n) * cicadapitch.Millis(p.RenewalsPerLease)
	return (span + cicadapitch.Second - 1) / cicadapitch.Second * cicadapitch.Second
}

// StoreReachability tells what the other hosts see of the store.
type StoreReachability interface {
	// CountHosts counts the hosts, this one included, that reach the store
	// and those that do not. Hosts that do not answer count in neither.
	CountHosts() (up, down int)
}

// heardPeers is the standard implementation of Peers. It goes by what the
// members that are heard say of themselves.
type memberReachability struct{ members cicadapitch.Members }

// CountHosts implements Peers.
func (p memberReachability) CountHosts() (up, down int) {
	for _, m := range p.members.Members() {
		switch {
		case m.State == cicadapitch.Suspect || m.State == cicadapitch.Dead:
		case m.StoreUp:
			up++
		default:
			down++
		}
	}
	return up, down
}

// Option sets an option of Claims.
type Option func(*Manager)

// WithPolicy replaces the standard policy.
func WithPolicy(p Policy) Option { return func(c *Manager) { c.policy = p } }

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(c *Manager) { c.log = log } }
