// Package endpoint schedules and runs attempts on the endpoints of the shards
// that this host owns.
//
// The owner of a shard is the only host that calls its endpoints. It limits the
// concurrent calls of each endpoint, queues further attempts, estimates the
// contents of the prefix caches, and starts each attempt at most once.
//
// State is the scheduler of one shard, a state machine without I/O or clock:
// each method takes an event and the current time and returns commands. Owner
// carries out the commands by calling the endpoints.
package endpoint
