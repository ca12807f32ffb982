// Package load is a load generator: it sends requests to a deployment at a given
// rate and reports their results. Arrivals don't wait for earlier answers (open
// loop), and each latency counts from the planned arrival time.
package load
