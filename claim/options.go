package claim

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Policy holds the time limits and batch sizes for leases and shard ownership.
type Policy struct {
	// RenewEvery is the minimum interval between two renewals of the lease.
	RenewEvery cicadapitch.Millis
	// RenewalsPerSecond limits the renewals of all hosts together. The interval
	// between two renewals grows with the number of hosts to stay within it.
	RenewalsPerSecond int
	// RenewalsPerLease is the number of renewal intervals in the TTL of a lease.
	RenewalsPerLease int
	// IsolationTimeout is how long a host that reaches neither the store nor a
	// quorum of hosts keeps starting work. Such a host cannot learn of changes of
	// the configuration, which must be in force on every host within seconds, so
	// the limit does not depend on the TTL of the lease.
	IsolationTimeout cicadapitch.Millis
	// StoreLossTimeout is how long a ready host may fail to reach the store, while
	// other hosts reach it, before shards are assigned to other hosts instead.
	StoreLossTimeout cicadapitch.Millis
	// LeaseCallTimeout limits one call that grants or renews a lease, so that a
	// host detects an outage of the store before its lease expires.
	LeaseCallTimeout cicadapitch.Millis
	// LeaseMargin is how long before its lease expires a host stops starting work.
	LeaseMargin cicadapitch.Millis
	// MaxTickGap is the longest interval between two ticks at which a host does
	// not count as paused.
	MaxTickGap cicadapitch.Millis
	// OutageExtension is how long each tick extends ownership without a valid
	// lease while no host reaches the store.
	OutageExtension cicadapitch.Millis
	// ReclaimTimeout is how long a host whose ownership was extended through an
	// outage may keep its shards without a claim once the store answers again and
	// reports that the lease has expired.
	ReclaimTimeout cicadapitch.Millis
	// StartDelay is the minimum time between the start of a host and its first
	// claim.
	StartDelay cicadapitch.Millis
	// DiscoveryTime is the time after its start by which a host has received the
	// records of the other hosts.
	DiscoveryTime cicadapitch.Millis
	// ExtensionDelay is how long a host that was paused, or whose shards expired
	// without a quorum, observes the other hosts before it may extend its
	// ownership without a lease.
	ExtensionDelay cicadapitch.Millis
	// HandOverAfter is how long another host must be the preferred owner of a
	// shard before the shard is handed over to it, and how long a host does not
	// claim a shard that it has released.
	HandOverAfter cicadapitch.Millis
	// HandOversPerTick limits the shards that a host hands over per tick.
	HandOversPerTick int
	// OutageClaimDelay is how long a host waits before it claims a shard after an
	// outage of the store, and after the last advertisement by an owner that may
	// have extended its ownership through the outage. It is longer than the sum of
	// OutageExtension and the time in which hosts suspect a silent host.
	OutageClaimDelay cicadapitch.Millis
	// RetryEvery is the interval between two attempts to claim a shard after a
	// failure or while another host holds the shard. A failed call for the lease is
	// retried after about the same time, or later if there are many hosts.
	RetryEvery cicadapitch.Millis
	// CrossRegionAfter is how long a region must have no hosts before hosts of
	// other regions may own its shards.
	CrossRegionAfter cicadapitch.Millis
	// ShardsPerCommit limits the shards that are claimed in one commit. Each shard
	// takes two conditions and one or two writes of the commit.
	ShardsPerCommit int
}

// StandardPolicy returns the default policy.
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

// renewInterval returns the interval between two renewals by one of n hosts.
func (p Policy) renewInterval(n int) cicadapitch.Millis {
	return max(p.RenewEvery, p.callInterval(n))
}

// callInterval returns the time in which n hosts can make one call each at
// RenewalsPerSecond.
func (p Policy) callInterval(n int) cicadapitch.Millis {
	return cicadapitch.Millis(n) * cicadapitch.Second / cicadapitch.Millis(p.RenewalsPerSecond)
}

// leaseTTL returns the TTL of a lease for n hosts, rounded up to whole seconds.
func (p Policy) leaseTTL(n int) cicadapitch.Millis {
	span := p.renewInterval(n) * cicadapitch.Millis(p.RenewalsPerLease)
	return (span + cicadapitch.Second - 1) / cicadapitch.Second * cicadapitch.Second
}

// StoreReachability counts the hosts by whether they reach the store.
type StoreReachability interface {
	// CountHosts returns the numbers of hosts, including this one, that do and do
	// not reach the store. Hosts that do not respond count in neither.
	CountHosts() (up, down int)
}

// memberReachability is the default StoreReachability. It counts the StoreUp fields
// of the members that are neither suspect nor dead.
type memberReachability struct{ members cicadapitch.Members }

// CountHosts implements StoreReachability.
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

// Option configures a Manager.
type Option func(*Manager)

// WithPolicy replaces the policy that StandardPolicy returns.
func WithPolicy(p Policy) Option { return func(m *Manager) { m.policy = p } }

// WithLog sets the logger. By default nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(m *Manager) { m.log = log } }
