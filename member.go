package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=HostState -json -text -output=hoststate_enumer.go

// HostState is the state of an entry host as its peers see it.
type HostState int

// The states of an entry host.
const (
	// Starting hosts have no confirmed configuration yet and take no callers.
	Starting HostState = iota
	// Ready hosts take callers and own shards.
	Ready
	// Leaving hosts finish what they run and take nothing new.
	Leaving
	// Suspect hosts have not answered lately.
	Suspect
	// Dead hosts are gone for good under this incarnation.
	Dead
)

// Member is what one host tells the others about itself.
type Member struct {
	Host        HostID
	Zone        ZoneID
	Region      RegionID
	Incarnation Incarnation
	// Started orders the incarnations of one host; the latest is valid.
	Started Instant
	// Version orders the records of one incarnation; the highest is valid.
	Version uint64
	State   HostState
	// PeerAddress is the ip:port for other hosts.
	PeerAddress string
	// CallerURL is the base URL for callers.
	CallerURL string
	// Revision is the configuration in force on the host.
	Revision Revision
	// StoreUp is true while the host reaches the platform's key-value service.
	StoreUp bool
	// LoadVersion orders the loads, Running and those of Claims, within one
	// Version.
	LoadVersion uint64
	// Running counts the requests the host serves as their entry.
	Running int
	// Claims are the shards the host owns.
	Claims []Claim
}

// Claim is the ownership of one shard.
type Claim struct {
	Shard   ShardID
	Fencing FencingNumber
	Load    ShardLoad
}

// ShardLoad summarises a shard for the choice between shards.
type ShardLoad struct {
	// Free counts slots that could start work now.
	Free Slots
	// Total counts the slots that the shard's endpoints bear now.
	Total Slots
	// Queued counts attempts that wait.
	Queued int
	// ServiceMillis is the typical service time of one attempt.
	ServiceMillis Millis
}

// Members tells which hosts there are.
type Members interface {
	// Self returns this host's own record.
	Self() Member
	// Members returns all known hosts that are not dead, this one included.
	Members() []Member
}

// ShardOwners tells which host owns a shard.
type ShardOwners interface {
	// Owner returns the owner of the shard as far as this host knows, or the
	// host that should claim it next.
	Owner(shard ShardID) (Member, bool)
	// Load returns the last known load of a shard.
	Load(shard ShardID) (ShardLoad, bool)
	// Observe records a load that came with an answer.
	Observe(shard ShardID, load ShardLoad)
}

// Configurations gives the configuration that is in force on this host.
type Configurations interface {
	// Current returns the configuration in force, or nil before the first.
	// The value is shared and must not be changed.
	Current() *Configuration
}
