// Package gateway takes a caller's request through its stages and to its
// endpoint and passes the answer back. It performs the I/O that the decisions
// of packages batch and placement ask for.
package gateway
