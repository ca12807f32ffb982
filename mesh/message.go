package mesh

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// Names of the calls between hosts.
const (
	callBeat = "beat"
	callSync = "sync"
)

// Beat is a heartbeat. Both directions carry the same content.
type Beat struct {
	Host        cicadapitch.HostID
	Incarnation string
	// Ready hosts take callers.
	Ready bool
	// Revision is the store's revision up to which the host's copy is complete.
	Revision cicadapitch.StoreRevision
	// StoreAway is true while the host watches the store and does not reach it.
	StoreAway bool
	// Loads are the requests that the host has at each engine.
	Loads map[cicadapitch.EndpointID]int
	// Waits are the waits of stage services, this host's own and those that it
	// heard of.
	Waits map[string]AgedWaits
	// Down are hosts that take no callers, as this host found or heard.
	Down []Rumor
}

// AgedWaits are the waits of a stage service by priority and how old they are.
type AgedWaits struct {
	Waits []cicadapitch.Millis
	Age   cicadapitch.Millis
}

// Rumor says that a host was found silent or not ready, and how long ago.
type Rumor struct {
	Incarnation string
	Age         cicadapitch.Millis
}

// SyncRequest asks for the changes after a revision.
type SyncRequest struct{ Since cicadapitch.StoreRevision }

// SyncReply carries them, complete up to Revision.
type SyncReply struct {
	Revision cicadapitch.StoreRevision
	Records  []fleet.Record
}

// hostRecord is a host's own entry in the store.
type hostRecord struct {
	Host        cicadapitch.HostID
	Incarnation string
	Zone        cicadapitch.ZoneID
	Callers     string
	Peers       string
}
