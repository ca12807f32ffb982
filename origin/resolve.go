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
	// SoleVersion means that the stream cannot have begun at another version of the service.
	SoleVersion
)

// Claim is what one host knows about a stream of a service.
type Claim struct {
	// Recorded is true if the host has a record; Origin is then its content.
	Recorded bool
	Origin   Origin
	// Seen holds the versions of the service at which the stream may have begun, as far as the
	// host knows.
	Seen []cicadapitch.SoftwareVersion
	// Confirmed is true if there are no others: the host has read the versions from the store
	// since the stream was taken up. A host that answers another one does not claim that, nor
	// does an earlier build.
	Confirmed bool
}

// Resolve returns where a stream of service began, from the claims of this host and of those that
// answered. Without a record, all versions that any of them has seen must be the same one, and at
// least one claim must be confirmed: what other hosts have not heard of, or do not answer, proves
// nothing.
func Resolve(service catalog.ServiceID, claims []Claim) (Origin, Source) {
	versions := map[cicadapitch.SoftwareVersion]bool{}
	confirmed := false
	for _, c := range claims {
		if c.Recorded {
			return c.Origin, Recorded
		}
		for _, v := range c.Seen {
			versions[v] = true
		}
		confirmed = confirmed || c.Confirmed
	}
	if confirmed && len(versions) == 1 {
		for v := range versions {
			return Origin{service, v}, SoleVersion
		}
	}
	return Origin{}, Unknown
}
