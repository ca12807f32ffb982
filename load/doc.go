// Package load sends requests to a deployment at a given rate and reports how
// they ended. Arrivals do not wait for answers, and each latency counts from
// the planned arrival.
package load
