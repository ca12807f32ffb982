// Package entry serves callers' requests on the host that they connect to.
//
// A Server runs the stages of a request's pipeline in order and returns the whole
// answer. It retries only stages that may be repeated. A request that may not be
// repeated runs at most once: the host that minted its token, or that claimed its
// idempotency key, runs it, and other hosts forward it there. Register adds the
// operations of a Server to an HTTP API.
package entry
