// Package bench drives the decisions of packages endpoint, customer and
// pipeline over small fake endpoints on virtual time.
//
// It is an event loop and not a cluster: there is no network, no store and no
// process. A run is determined by its case, its variant and its seed, so that
// its figures repeat exactly.
package bench
