// Package claim decides which host owns a shard of endpoints and keeps that
// ownership in the platform's key-value service under the host's one lease.
package claim
