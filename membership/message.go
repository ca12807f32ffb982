package membership

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// Names of the calls between hosts.
const (
	callHeartbeat = "beat"
	callSync      = "sync"
)

// Heartbeat carries a host's state and its reports on other hosts and services.
// The request and the response of a heartbeat call both carry one.
type Heartbeat struct {
	Host        cicadapitch.HostID
	Incarnation string
	// Ready is true while the host takes callers.
	Ready bool
	// Revision is the store revision up to which the host's mirror is complete.
	Revision cicadapitch.StoreRevision
	// StoreAway is true while the host should watch the store but cannot reach it.
	StoreAway bool
	// Loads is the number of requests that the host has at each engine.
	Loads map[cicadapitch.EndpointID]int
	// Waits holds the waits by stage service: of the services that the host owns,
	// and those that other hosts reported to it.
	Waits map[string]AgedWaits
	// Down lists the hosts that are unavailable, as this host found itself or as
	// other hosts reported to it.
	Down []DownReport
}

// AgedWaits holds the waits of a stage service by priority, and how long ago the
// service's owner reported them.
type AgedWaits struct {
	Waits []cicadapitch.Millis
	Age   cicadapitch.Millis
}

// DownReport says that a host was found unavailable, and how long ago.
type DownReport struct {
	Incarnation string
	Age         cicadapitch.Millis
}

// SyncRequest asks for the store changes after the revision Since.
type SyncRequest struct{ Since cicadapitch.StoreRevision }

// SyncReply carries the requested changes, complete up to Revision.
type SyncReply struct {
	Revision cicadapitch.StoreRevision
	Records  []fleet.Record
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
