// Package pipeline decides how a request passes through its stages: whether it
// can meet its deadline, which shard runs a stage, and whether a stage is tried
// again or hedged.
//
// Its functions are pure. They take their state, the current instant and random
// numbers as arguments, so that the same decisions run on virtual time.
package pipeline
