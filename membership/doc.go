// Package membership makes a host a member of the deployment. It mirrors the
// platform's store, registers the host there under a lease, exchanges heartbeats and
// missed store changes with the other hosts, and implements the directory that tells
// callers which hosts to use.
package membership
