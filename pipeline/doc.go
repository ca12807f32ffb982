// Package pipeline makes the scheduling decisions for a request: whether to
// admit it under its deadline, which shard runs each stage, and whether a
// failed attempt is retried. Its estimates tell when a slow attempt is worth a
// hedge.
//
// Apart from SharedRetryBudget, which holds a lock, everything here is free of
// side effects: state, load ages and random numbers are arguments, so that
// simulations on virtual time run the same code.
package pipeline
