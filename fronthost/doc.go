// Package fronthost assembles a host that runs on the users' platform: the listeners
// for callers, other hosts and metrics scrapers, the gateway, the membership in the
// deployment, and the graceful shutdown. The package also provides the host's logger.
package fronthost
