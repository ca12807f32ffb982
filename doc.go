// Package cicadapitch serves multi-stage model pipelines from a fleet of small
// entry hosts.
//
// The root package holds the vocabulary that every role shares: ids and units,
// the clock, typed errors, the configuration, the messages between hosts and
// the interfaces that the packages below implement. It performs no I/O.
package cicadapitch
