// Package origin remembers where streams began. What two versions of an endpoint's
// software write does not fit together, so a stream may go on only at the service and
// the software version that began it.
//
// The package makes decisions and performs no I/O.
package origin
