// Package daemon wires the roles of one entry host into a process: membership,
// configuration, shard ownership, the request path, administration and the
// listeners for callers and peers.
package daemon
