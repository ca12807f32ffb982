// Package deployment runs a whole deployment inside one process on loopback
// ports: the stand-ins of the platform and of the endpoints, and the daemons.
package deployment
