// Package host keeps the membership of the entry hosts and answers which of
// them a caller should use.
//
// A Core decides and performs no I/O; a Group runs it and carries its pings
// over a Transport. Each host probes two others a second, directly and then
// through others. One that does not answer is Suspected, may refute that with a
// higher version, and is Gone after 3 s. Changes of state are pushed to a few
// hosts at once, other changes ride on the probes within an allowance in bytes,
// and digests of what two hosts know find what either has missed. The
// platform's list of hosts gives addresses to begin with and hints, and never
// removes a host.
package host
