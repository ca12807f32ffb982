package catalog

import "cicadapitch.example/cicadapitch"

// Endpoint is what one endpoint says about itself.
type Endpoint struct {
	ID      cicadapitch.EndpointID
	Service ServiceID
	Address string
	Zone    cicadapitch.ZoneID
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// ColdFor is how long the endpoint stayed cold when it wrote the entry.
	ColdFor cicadapitch.Millis
	// Started tells the incarnations of one id apart.
	Started int64
	// Revision is the store's revision of the entry.
	Revision cicadapitch.StoreRevision
}
