package origin

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// MaxLifetime bounds the time for which a stream may be taken up after its beginning.
const MaxLifetime = 10 * cicadapitch.Minute

// Origin is where a stream began.
type Origin struct {
	Service catalog.ServiceID
	Version cicadapitch.SoftwareVersion
}

// Record is the origin of the stream whose first event a request brought.
type Record struct {
	Request cicadapitch.RequestID
	Origin  Origin
	// Lifetime is how long the caller may still take the stream up.
	Lifetime cicadapitch.Millis
}
