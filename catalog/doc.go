// Package catalog holds the operator's configuration of the gateway (routes,
// services, customers, limits) and the entries that endpoints publish about
// themselves. The daemon's cicadapitch.Configuration (pipelines, pools) is another
// one. The package's values are not modified once decoded. It performs no I/O.
package catalog
