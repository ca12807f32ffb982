package catalog

import "cicadapitch.example/cicadapitch"

// Endpoint is the entry that an endpoint publishes about itself.
type Endpoint struct {
	ID      cicadapitch.EndpointID
	Service ServiceID
	// Address is the ip:port of the endpoint.
	Address string
	Zone    cicadapitch.ZoneID
	// Version is the version of the endpoint's software, or empty if the entry has none.
	Version cicadapitch.SoftwareVersion
	Slots   int
	// Leaving endpoints are draining and get no new work.
	Leaving bool
	// ColdFor is the remaining cold-start time at the moment the endpoint wrote the
	// entry.
	ColdFor cicadapitch.Millis
	// Started is the start time of the endpoint's process in the endpoint's own
	// unit, or 0 if the entry has none. Only its difference from the start of
	// another incarnation of the same id matters.
	Started int64
	// Revision is the store revision of the entry.
	Revision cicadapitch.StoreRevision
}
