// Package deployment runs a whole deployment in one process on loopback ports: the
// daemons, and stand-ins for the platform and the endpoints.
package deployment
