// Package rollout brings the model engines of this host's shards to the model,
// version, adapters and role that operators ordered for their pool.
//
// Only the owner of a shard orders its engines, with its fencing number. It
// orders one engine at a time, at a pace that the weight store bears over all
// owners together, and only while the shard can spare a whole engine. Orders
// are idempotent, so one whose outcome is unknown is given again.
package rollout
