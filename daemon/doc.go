// Package daemon runs one entry host as a process. It constructs the host's
// roles (membership, configuration, shard ownership, the request path and
// administration) and the HTTP servers for callers and peers, and connects them.
package daemon
