// Package placement chooses the endpoint for a request. A model engine is chosen
// by the request's session, so that the engine has the prompt prefix cached, and
// by load; an endpoint of a plain service by zone, load and latency. Endpoints
// with many recent failures are avoided. Each host decides alone, from its own
// calls and the loads that other hosts report. The package performs no I/O.
package placement
