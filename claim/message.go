package claim

import "cicadapitch.example/cicadapitch"

// Message tells a State what happened.
type Message interface{ isMessage() }

// Tick comes several times a second.
type Tick struct {
	Now     cicadapitch.Instant
	Self    cicadapitch.Member
	Members []cicadapitch.Member
	Shards  []ShardLocation
	// Hosts counts the hosts that operators have configured and not taken out.
	Hosts int
	// StoreUp and StoreDown count the hosts, this one included, that reach the store
	// and those that do not.
	StoreUp, StoreDown int
}

// ShardLocation is a shard and the region of its zone.
type ShardLocation struct {
	Shard  cicadapitch.Shard
	Region cicadapitch.RegionID
}

// LeaseResponse ends a GrantLease or a RenewLease that was sent at Sent.
type LeaseResponse struct {
	Sent, Now cicadapitch.Instant
	Lease     cicadapitch.LeaseID
	TTL       cicadapitch.Millis
	Err       error
}

// AcquireResponse ends a AcquireShards.
type AcquireResponse struct {
	Now     cicadapitch.Instant
	Lease   cicadapitch.LeaseID
	Results []AcquireResult
}

// AcquireResult is what became of the claim of one shard. Won is false where another
// host holds the shard, or where Err is set.
type AcquireResult struct {
	Shard    cicadapitch.ShardID
	Acquired bool
	Fencing  cicadapitch.FencingNumber
	Revision cicadapitch.StoreRevision
	// FencingRevision is the revision of the key that keeps the fencing number.
	FencingRevision cicadapitch.StoreRevision
	Err             error
}

// ReleaseResponse ends a ReleaseShards.
type ReleaseResponse struct {
	Now    cicadapitch.Instant
	Shards []StoredClaim
	Err    error
}

// ReleaseRequest asks to release a shard, or all shards for good where All is set.
type ReleaseRequest struct {
	Now   cicadapitch.Instant
	Shard cicadapitch.ShardID
	All   bool
}

func (Tick) isMessage()            {}
func (LeaseResponse) isMessage()   {}
func (AcquireResponse) isMessage() {}
func (ReleaseResponse) isMessage() {}
func (ReleaseRequest) isMessage()  {}

// Command is what a State wants done.
type Command interface{ isCommand() }

// GrantLease makes a lease. It ends with LeaseAnswer.
type GrantLease struct{ TTL cicadapitch.Millis }

// RenewLease extends the lease. It ends with LeaseAnswer.
type RenewLease struct{ Lease cicadapitch.LeaseID }

// RevokeLease ends the lease and all claims under it.
type RevokeLease struct{ Lease cicadapitch.LeaseID }

// AcquireShards claims shards in the store. It ends with ClaimsAnswer.
type AcquireShards struct {
	Lease       cicadapitch.LeaseID
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	Shards      []cicadapitch.ShardID
	// Reacquire are shards that this process owned under an earlier lease. They
	// are claimed without a read where nobody has claimed them since.
	Reacquire []OwnedShard
}

// OwnedShard is an owned shard with what the store had of it.
type OwnedShard struct {
	Shard           cicadapitch.ShardID
	Fencing         cicadapitch.FencingNumber
	FencingRevision cicadapitch.StoreRevision
}

// ReleaseShards deletes claims in the store. It ends with ReleaseAnswer.
type ReleaseShards struct{ Shards []StoredClaim }

// StoredClaim is a claim as the store has it.
type StoredClaim struct {
	Shard    cicadapitch.ShardID
	Revision cicadapitch.StoreRevision
}

// NotifyGain tells this host that it owns a shard.
type NotifyGain struct{ Claim cicadapitch.Claim }

// NotifyLoss tells this host that it no longer owns a shard.
type NotifyLoss struct{ Shard cicadapitch.ShardID }

func (GrantLease) isCommand()    {}
func (RenewLease) isCommand()    {}
func (RevokeLease) isCommand()   {}
func (AcquireShards) isCommand() {}
func (ReleaseShards) isCommand() {}
func (NotifyGain) isCommand()    {}
func (NotifyLoss) isCommand()    {}
