// Package gateway is the reverse proxy of a host. It runs the stages of a
// request, forwards the request to an endpoint, retries where that is safe, and
// relays the answer to the caller.
//
// Packages batch and placement make the decisions; this package performs their
// I/O.
package gateway
