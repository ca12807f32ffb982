package origin

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Source -text -output=source_enumer.go

// Source is how the origin of a stream became known.
type Source int

// The sources of an origin.
const (
	// Unknown means that the stream must not go on.
	Unknown Source = iota
	// Recorded means that a host has a record of the stream.
	Recorded
	// SoleVersion means that the service has had one version for as long as the stream
	// can have lasted.
	SoleVersion
)

// Claim is what one host knows about a stream of a service.
type Claim struct {
	// Recorded is true if the host has a record; Origin is then its content.
	Recorded bool
	Origin   Origin
	// Seen holds the versions of the service that the host has seen within the time
	// that the stream can have lasted. Complete is true if it has watched all that time.
	Seen     []cicadapitch.SoftwareVersion
	Complete bool
}

// Resolve returns where a stream of service began, from the claims of the hosts that
// answered. Without a record, all versions that any of them has seen must be the same
// one, and at least one claim must be complete.
func Resolve(service catalog.ServiceID, claims []Claim) (Origin, Source) {
	versions := map[cicadapitch.SoftwareVersion]bool{}
	complete := false
	for _, c := range claims {
		if c.Recorded {
			return c.Origin, Recorded
		}
		for _, v := range c.Seen {
			versions[v] = true
		}
		complete = complete || c.Complete
	}
	if complete && len(versions) == 1 {
		for v := range versions {
			return Origin{service, v}, SoleVersion
		}
	}
	return Origin{}, Unknown
}
