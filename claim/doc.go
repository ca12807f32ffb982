// Package claim decides which host owns each shard of endpoints. It records the
// ownership as claims in the platform's key-value store, under one lease per host.
package claim
