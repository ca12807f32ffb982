package claim

import "cicadapitch.example/cicadapitch"

// Message is an input of State.Next: an event or the response to a Command.
type Message interface{ isMessage() }

// Tick is the periodic input of a State, with the members and shards as of Now.
type Tick struct {
	Now     cicadapitch.Instant
	Self    cicadapitch.Member
	Members []cicadapitch.Member
	Shards  []ShardLocation
	// Hosts is the number of configured hosts that operators have not taken out.
	Hosts int
	// HostsWithStore and HostsWithoutStore are the numbers of hosts, including this one, that do
	// and do not reach the store.
	HostsWithStore, HostsWithoutStore int
}

// ShardLocation is a shard and the region that its zone belongs to.
type ShardLocation struct {
	Shard  cicadapitch.Shard
	Region cicadapitch.RegionID
}

// LeaseResponse is the response to a GrantLease or a RenewLease. Sent and Now are
// the instants before and after the call.
type LeaseResponse struct {
	Sent, Now cicadapitch.Instant
	Lease     cicadapitch.LeaseID
	TTL       cicadapitch.Millis
	Err       error
}

// AcquireResponse is the response to an AcquireShards under Lease, with one result
// per shard.
type AcquireResponse struct {
	Now     cicadapitch.Instant
	Lease   cicadapitch.LeaseID
	Results []AcquireResult
}

// AcquireResult is the outcome of the claim on one shard. Acquired is false if
// another host holds the shard or if Err is set.
type AcquireResult struct {
	Shard    cicadapitch.ShardID
	Acquired bool
	Fencing  cicadapitch.FencingNumber
	// Revision is the store revision of the claim.
	Revision cicadapitch.StoreRevision
	// FencingRevision is the store revision of the key of the fencing number.
	FencingRevision cicadapitch.StoreRevision
	Err             error
}

// ReleaseResponse is the response to a ReleaseShards.
type ReleaseResponse struct {
	Now    cicadapitch.Instant
	Shards []StoredClaim
	Err    error
}

// ReleaseRequest asks a State to release one shard or, if All is set, to release all
// shards and the lease and to claim nothing afterwards.
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

// Command is an action that a State requests from its caller.
type Command interface{ isCommand() }

// GrantLease requests a new lease. The response is a LeaseResponse.
type GrantLease struct{ TTL cicadapitch.Millis }

// RenewLease extends the lease. The response is a LeaseResponse.
type RenewLease struct{ Lease cicadapitch.LeaseID }

// RevokeLease revokes the lease, which deletes all claims under it. It has no
// response.
type RevokeLease struct{ Lease cicadapitch.LeaseID }

// AcquireShards claims shards in the store under a lease. The response is an
// AcquireResponse.
type AcquireShards struct {
	Lease       cicadapitch.LeaseID
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	Shards      []cicadapitch.ShardID
	// Reacquire are shards that this process owned under an earlier lease. They
	// are first written without a read, which succeeds if no other process has
	// claimed them since.
	Reacquire []OwnedShard
}

// OwnedShard is an owned shard with its fencing number as stored.
type OwnedShard struct {
	Shard           cicadapitch.ShardID
	Fencing         cicadapitch.FencingNumber
	FencingRevision cicadapitch.StoreRevision
}

// ReleaseShards deletes claims in the store. The response is a ReleaseResponse.
type ReleaseShards struct{ Shards []StoredClaim }

// StoredClaim identifies a claim in the store by its shard and store revision.
type StoredClaim struct {
	Shard    cicadapitch.ShardID
	Revision cicadapitch.StoreRevision
}

// NotifyGain reports that this host now owns a shard.
type NotifyGain struct{ Claim cicadapitch.Claim }

// NotifyLoss reports that this host no longer owns a shard.
type NotifyLoss struct{ Shard cicadapitch.ShardID }

func (GrantLease) isCommand()    {}
func (RenewLease) isCommand()    {}
func (RevokeLease) isCommand()   {}
func (AcquireShards) isCommand() {}
func (ReleaseShards) isCommand() {}
func (NotifyGain) isCommand()    {}
func (NotifyLoss) isCommand()    {}
