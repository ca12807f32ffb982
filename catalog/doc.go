// Package catalog holds what operators configured (routes, services, customers,
// limits) and what endpoints say about themselves. It is immutable once decoded
// and performs no I/O.
package catalog
