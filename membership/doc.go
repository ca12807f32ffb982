// Package membership keeps a host in step with the deployment. It mirrors the
// platform's store, registers the host there under a lease, exchanges heartbeats
// and missed store changes with the other hosts, and answers callers who ask the
// directory for hosts.
package membership
