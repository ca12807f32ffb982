// Package host implements membership, failure detection and load exchange
// between the hosts of a deployment, and selects the hosts that a caller should
// use.
//
// A Core holds the protocol state and performs no I/O; a Group runs a Core and
// sends its pings over a Transport. Each host probes one other per probeInterval.
// If a direct probe fails, other hosts probe the target indirectly. A host that
// answers neither the direct nor the indirect probes is Suspected. It may refute
// the suspicion with a higher version; otherwise it is Gone after
// suspicionTimeout.
//
// Changes of state are pushed to a few random hosts at once. Other changes are
// piggybacked on probes within a byte budget. Hosts compare digests of their
// member tables to find updates that either has missed. The platform's host
// list provides seed addresses and marks hosts as leaving, and never removes a
// host.
package host
