package catalog

import "cicadapitch.example/cicadapitch"

// Endpoint is the entry that an endpoint publishes about itself.
type Endpoint struct {
	ID      cicadapitch.EndpointID
	Service ServiceID
	// Address is the ip:port of the endpoint.
	Address string
	Zone    cicadapitch.ZoneID
	Slots   int
	// Leaving endpoints are draining and get no new work.
	Leaving bool
	// ColdFor is the cold-start time that was left when the endpoint wrote the
	// entry.
	ColdFor cicadapitch.Millis
	// Started is the start of the endpoint's process, or 0 if the entry does
	// not tell. It distinguishes the incarnations of one id.
	Started int64
	// Revision is the store revision of the entry.
	Revision cicadapitch.StoreRevision
}
