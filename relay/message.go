package relay

import "cicadapitch.example/cicadapitch"

// callOpen is the name of the call that opens a relayed connection, as sent on the wire.
const callOpen = "relay"

// Path is the URL path, followed by a token, at which a Server takes over connections.
const Path = "/relay/"

// OpenRequest asks a host to connect to an endpoint.
type OpenRequest struct {
	Host cicadapitch.HostID
	// Address is the ip:port of the endpoint.
	Address string
}

// OpenReply says how to use the connection that was opened: a request for Path and Token at
// the host's address for other hosts takes it over, once and soon.
type OpenReply struct {
	Token string
	// Refused is true, and Token empty, if the endpoint's address refuses connections.
	Refused bool
}
