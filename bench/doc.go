// Package bench runs the decision code of packages endpoint, customer and
// pipeline against fake endpoints on virtual time.
//
// A run is a discrete-event simulation in one goroutine, without network, store
// or processes. Its case, variant and seed determine it, so that its results
// are reproducible.
package bench
