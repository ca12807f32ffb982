// Package catalog holds the operator's configuration (routes, services,
// customers, limits) and the entries that endpoints publish about themselves.
// Its values are not modified once decoded. It performs no I/O.
package catalog
