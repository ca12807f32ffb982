// Package endpoint owns endpoint shards.
//
// The owner of a shard is the only host that sends work to its endpoints. It
// keeps the slots that each endpoint bears, the queue before them and the view
// of their prefix caches, and it starts an attempt at most once.
//
// State holds the decisions of one shard as a plain state machine: a message
// and an instant go in, commands come out. Owner is the shell around it that
// makes the calls.
package endpoint
