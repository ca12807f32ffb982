// Package relay connects a host that is cut off from endpoints to them over hosts that reach
// them. Table decides how to connect, Dialer does it, and Server serves other hosts.
//
// A relay copies bytes between two connections. What is sent, to which endpoint, how often and
// until when stays with the host that has the request, so limits, retries and deadlines are
// counted there alone. A relay connects directly only, so that relays cannot form a loop.
package relay
