// Package client sends requests to a cicadapitch deployment.
//
// A Client gets the list of hosts from any host, caches it for its time to live
// and connects to the nearest host. It retries a request only if the kind of the
// error allows it. A request whose work may not be repeated keeps the same token
// for all its retries.
package client
