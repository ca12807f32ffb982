// Package rig starts the programs of a small deployment as separate processes and
// simulates the platform around them: its store, the operator, endpoints and callers.
// The cases of the review use it.
package rig
