package entry

import "cicadapitch.example/cicadapitch"

// Directory returns the hosts that a caller in a zone should use. Caller is the
// remote address of the caller.
type Directory func(zone cicadapitch.ZoneID, caller string) DirectoryAnswer

// DirectoryHost is one host to which callers may send requests.
type DirectoryHost struct {
	Host cicadapitch.HostID `json:"Host"`
	Zone cicadapitch.ZoneID `json:"Zone"`
	URL  string             `json:"URL"`
}

// DirectoryAnswer lists the hosts to which a caller should send its requests.
type DirectoryAnswer struct {
	// Hosts are sorted by distance from the caller, the nearest first.
	Hosts []DirectoryHost `json:"Hosts"`
	// TTL is the time in milliseconds for which the answer is valid.
	TTL cicadapitch.Millis `json:"TTL"`
	// Tokens are for requests to the pipelines in Once. Each request needs its
	// own token. Only a caller with a customer's key gets tokens.
	Tokens []cicadapitch.Token `json:"Tokens,omitempty"`
	// Once lists the pipelines that may not be repeated. Their requests need a
	// token or an idempotency key.
	Once []cicadapitch.PipelineID `json:"Once,omitempty"`
}
