// Package fronthost assembles one host on the users' platform. The host listens
// for callers, other hosts and metrics scrapers, keeps in step with the
// deployment, and shuts down gracefully. The package also provides the host's
// logger.
package fronthost
