// Package rollout sends orders to the model engines of the shards that this host
// owns, until the engines serve the model, version, adapters and role that
// operators ordered for their pool.
//
// Only the owner of a shard sends orders to its engines, with the fencing number
// of its claim. It orders one engine at a time, and only if the shard has the
// spare capacity of a whole engine. All owners of a pool together limit the rate
// of orders to what the weight store can serve. Orders are idempotent, so an
// order with an unknown outcome is repeated.
package rollout
