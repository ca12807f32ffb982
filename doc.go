// Package cicadapitch serves multi-stage model pipelines from a fleet of small
// entry hosts.
//
// The root package holds the types that all other packages share: ids and units,
// the clock, typed errors, the configuration, the messages between hosts and the
// interfaces that the subpackages implement. It performs no I/O.
package cicadapitch
