// Package catalog holds the operator's configuration of the gateway (routes,
// services, customers, limits) and the entries that endpoints publish about
// themselves. It is not to be confused with cicadapitch.Configuration, the
// daemon's configuration of pools and pipelines. The values of this package are
// not modified once decoded. It performs no I/O.
package catalog
