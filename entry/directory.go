package entry

import "cicadapitch.example/cicadapitch"

// DirectoryHost is one host that callers may use.
type DirectoryHost struct {
	Host cicadapitch.HostID `json:"Host"`
	Zone cicadapitch.ZoneID `json:"Zone"`
	URL  string             `json:"URL"`
}

// DirectoryAnswer tells a caller which hosts to use.
type DirectoryAnswer struct {
	// Hosts are ordered, the nearest first.
	Hosts []DirectoryHost `json:"Hosts"`
	// TTL is the span in milliseconds for which the answer holds.
	TTL cicadapitch.Millis `json:"TTL"`
	// Tokens are for pipelines that may not be repeated, one a request. They
	// are given to a customer with a key only.
	Tokens []cicadapitch.Token `json:"Tokens,omitempty"`
	// Once names the pipelines whose requests need a token.
	Once []cicadapitch.PipelineID `json:"Once,omitempty"`
}
