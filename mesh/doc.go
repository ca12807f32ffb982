// Package mesh keeps a host in step with the deployment: it follows the
// platform's store, holds the host's own entry there under a lease, exchanges
// heartbeats and missed changes with the other hosts, and tells callers which
// hosts to use.
package mesh
