// Package canary decides rollouts: it counts what callers receive from the old and the new version
// of a service, splits requests between them, and judges from the counts of all hosts whether the
// new version takes over or is rolled back. It performs no I/O.
package canary
