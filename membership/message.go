package membership

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/quarantine"
)

// Names of the calls between hosts, as sent on the wire.
const (
	callHeartbeat      = "beat"
	callSync           = "sync"
	callCatalogNotice  = "catalog"
	callCatalogChange  = "catalogchange"
	callEndpointNotice = "endpoints"
	callOriginBatch    = "originbatch"
)

// Heartbeat carries the sender's state and its reports on other hosts and on shards.
// The request and the response of a heartbeat call both carry one.
type Heartbeat struct {
	Host        cicadapitch.HostID
	Incarnation string
	// Ready is true while the sender takes callers.
	Ready bool
	// Era is the store's era of Revision and Endpoints. It is 0 in messages of earlier builds.
	Era cicadapitch.StoreEra
	// Revision is the store revision up to which the sender's mirror is complete.
	Revision cicadapitch.StoreRevision
	// Endpoints says how old the sender's knowledge of the endpoints is. It is nil if the sender
	// does not know, and in heartbeats of earlier builds.
	Endpoints *fleet.Claim
	// Catalog describes the configuration that the sender has in force.
	Catalog CatalogHead
	// StoreAway is true while the sender should watch the store but cannot reach it.
	StoreAway bool
	// Loads is the number of requests that the sender has at each engine.
	Loads map[cicadapitch.EndpointID]int
	// Work is the sender's outstanding work at the engines of Loads that it chose by work. Heartbeats of
	// earlier builds have none.
	Work map[cicadapitch.EndpointID]placement.EngineWork `cbor:",omitempty"`
	// Waits holds queue waits by shard key: those of the sender's own shards and those
	// that other hosts reported to the sender.
	Waits map[string]AgedWaits
	// Down lists the hosts that the sender found unavailable or that were reported to
	// it as unavailable.
	Down []DownReport
	// CutOff lists the hosts that do not reach most endpoints, as they said Age ago.
	CutOff []DownReport
	// Suspects reports on parts of prompts that may crash endpoints.
	Suspects []quarantine.Report
	// Limits reports the rate limits that endpoints have named.
	Limits []placement.RateLimitReport
}

// AgedWaits holds the queue waits of a shard, as gateway.QueueWaits, and how long ago
// the shard's owner reported them.
type AgedWaits struct {
	Waits []cicadapitch.Millis
	Age   cicadapitch.Millis
}

// DownReport says that the host with this incarnation was found unavailable, or cut off from
// endpoints, Age ago.
type DownReport struct {
	Incarnation string
	Age         cicadapitch.Millis
}

// CatalogHead describes the configuration that a host has in force.
type CatalogHead struct {
	// Version is 0 if the host has none.
	Version int64
	// Revision is the store's revision of the configuration, of era Era.
	Era      cicadapitch.StoreEra
	Revision cicadapitch.StoreRevision
	// Age is how long ago a host first knew the version.
	Age cicadapitch.Millis
}

// CatalogNotice tells of a configuration that the host at Peers has put in force.
type CatalogNotice struct {
	Peers string
	Head  CatalogHead
}

// EndpointNotice carries changes of endpoints' entries that end their use.
type EndpointNotice struct {
	Host cicadapitch.HostID
	// Era is the store's era of the records. It is 0 in notices of earlier builds.
	Era     cicadapitch.StoreEra
	Records []fleet.Record
}

// OriginBatch passes records of streams to a host that writes them to the store.
type OriginBatch struct{ Records []origin.Record }

// CatalogRequest asks for the change from a version of the configuration to the one in
// force.
type CatalogRequest struct{ Version int64 }

// CatalogReply carries the change in compressed CBOR. It starts from no configuration if
// the host does not know the requested version.
type CatalogReply struct {
	Head   CatalogHead
	Change []byte
}

// SyncRequest asks for the store changes after the revision Since, of era Era.
type SyncRequest struct {
	Era   cicadapitch.StoreEra
	Since cicadapitch.StoreRevision
	// WithoutCatalog is true if the sender fetches configurations by CatalogRequest. Hosts
	// of earlier builds do not.
	WithoutCatalog bool
	// TakesListing is true if the sender takes all keys instead of the changes. Hosts of
	// earlier builds do not.
	TakesListing bool
}

// SyncReply carries the requested changes, complete up to Revision as far as Scope says so.
type SyncReply struct {
	// Era is the store's era of all revisions. It is 0 in answers of earlier builds.
	Era      cicadapitch.StoreEra
	Revision cicadapitch.StoreRevision
	Records  []fleet.Record
	// Scope is fleet.Some in answers of earlier builds, which do not know whether they name all
	// changes.
	Scope fleet.Scope
	// Endpoints is that of a heartbeat.
	Endpoints *fleet.Claim
}

// quarantineRecord is the value of the store's key of a quarantined part.
type quarantineRecord struct {
	Part string
	// QuarantinedAt is in milliseconds since the Unix epoch by the clock of the host that
	// wrote it.
	QuarantinedAt cicadapitch.Instant
}

// hostRecord is the value of a host's entry in the store.
type hostRecord struct {
	Host        cicadapitch.HostID
	Incarnation string
	Zone        cicadapitch.ZoneID
	// Callers and Peers are the ip:port for callers and for other hosts.
	Callers string
	Peers   string
}
