package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=HostState -json -text -output=hoststate_enumer.go

// HostState is the state of an entry host. A host publishes Starting, Ready and
// Leaving itself; its peers set Suspect and Dead.
type HostState int

// The states of an entry host.
const (
	// Starting hosts have no confirmed configuration yet and reject callers.
	Starting HostState = iota
	// Ready hosts accept callers and own shards.
	Ready
	// Leaving hosts complete their running work and accept no new work.
	Leaving
	// Suspect hosts have not answered recently.
	Suspect
	// Dead hosts never return under the same incarnation.
	Dead
)

// Member is the membership record that a host publishes about itself.
type Member struct {
	Host        HostID
	Zone        ZoneID
	Region      RegionID
	Incarnation Incarnation
	// Started is when the process started. Among the records of different
	// incarnations of a host, the one with the latest start is valid.
	Started Instant
	// Version is the version of the record within one incarnation. The record
	// with the highest version is valid.
	Version uint64
	State   HostState
	// PeerAddress is the ip:port at which other hosts reach this one.
	PeerAddress string
	// CallerURL is the base URL that callers use.
	CallerURL string
	// Revision is the revision of the configuration that the host applies.
	Revision Revision
	// StoreUp is true while the host can reach the platform's key-value
	// service.
	StoreUp bool
	// LoadVersion counts the updates of Running and of Load in the claims since
	// Version last changed.
	LoadVersion uint64
	// Running is the number of requests that the host serves as entry host.
	Running int
	// Claims are the shards that the host owns.
	Claims []Claim
}

// Claim is a host's ownership of one shard.
type Claim struct {
	Shard   ShardID
	Fencing FencingNumber
	Load    ShardLoad
}

// ShardLoad is the load summary that hosts use to choose between shards.
type ShardLoad struct {
	// Free is the number of slots that can start work now.
	Free Slots
	// Total is the number of slots that the shard's endpoints have now.
	Total Slots
	// Queued is the number of attempts that wait for a slot.
	Queued int
	// ServiceMillis is the typical service time of one attempt.
	ServiceMillis Millis
}

// Members lists the hosts of the deployment.
type Members interface {
	// Self returns the record of this host.
	Self() Member
	// Members returns the records of all known hosts that are not dead,
	// including this one.
	Members() []Member
}

// ShardOwners looks up the owners and the loads of shards.
type ShardOwners interface {
	// Owner returns the host to which work for the shard should be sent: the
	// owner that this host knows or, if it knows none, the host that should
	// claim the shard. It returns false if it knows neither.
	Owner(shard ShardID) (Member, bool)
	// Load returns the last known load of the shard and whether there is one.
	Load(shard ShardID) (ShardLoad, bool)
	// RecordLoad records the load of a shard that came with an answer.
	RecordLoad(shard ShardID, load ShardLoad)
}

// ConfigurationSource provides the configuration that this host applies.
type ConfigurationSource interface {
	// Current returns the current configuration, or nil if there is none yet.
	// The value is shared; the caller must not modify it.
	Current() *Configuration
}
